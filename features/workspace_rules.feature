Feature: Workspaces of a configuration are read strictly
  Without processes. Guards against a faulty entry that opens access or makes
  a whole configuration unusable.

  Scenario Outline: A faulty entry costs no more than itself
    When the workspaces are read from <tenants>
    Then key k1 opens <k1> and key k2 opens <k2>
    And <lines> lines are logged, without a key

    Examples:
      | tenants                                                                       | k1   | k2   | lines |
      | [{"name":"a","api-keys":["k1"]},{"name":"b","api-keys":["k2"]}]               | a    | b    | 0     |
      | [{"name":"a","api-keys":["k1","k2"]},{"name":"b","api-keys":["k1"]}]          | none | a    | 1     |
      | [{"name":"a","api-keys":["k1","k1"]}]                                         | a    | none | 0     |
      | [{"api-keys":["k1"]},{"name":"b","api-keys":["k2"]}]                          | none | b    | 1     |
      | [{"name":"a\nb","api-keys":["k1"]},{"name":"b","api-keys":["k2"]}]            | none | b    | 1     |
      | [7,{"name":"b","api-keys":["k2"]}]                                            | none | b    | 1     |
      | [{"name":"a","api-keys":"k1"},{"name":"b","api-keys":["k2"]}]                 | none | b    | 1     |
      | [{"name":"a","api-keys":null},{"name":"b","api-keys":["k2"]}]                 | none | b    | 1     |
      | [{"name":"a","api-keys":["",7," k1 "]}]                                       | a    | none | 1     |
      | [{"name":"a","api-keys":["k1"],"priority":"high"}]                            | a    | none | 1     |
      | [{"name":"a","api-keys":["k1"],"priority":-1}]                                | a    | none | 1     |
      | [{"name":"a"},{"name":"b","api-keys":["k2"]}]                                 | none | b    | 0     |
      | []                                                                            | none | none | 0     |
      | {}                                                                            | none | none | 1     |

  Scenario: Metrics of many workspaces stay few
    Guards against a series for each of 10,000 workspaces.
    When requests of 10000 workspaces are counted
    Then there are 100 label values, one of them other

  Scenario: Jobs without a workspace are stored as earlier builds store them
    Guards against other bytes in the store where there are no workspaces.
    Then a stored job without a workspace has 8 fields and its row 14
    And a stored job of workspace a has 9 fields and its row 15
