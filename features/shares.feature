Feature: Waiting work follows the shares of its workspaces
  Guards against a workspace whose flood delays or displaces the work of
  others. The policy `arrival`, which ignores workspaces, runs the same loads.

  Scenario: One workspace sends ten times its share, 70 send theirs
    Guards against a flood that costs the others more than 1%.
    When the load "flood" runs with each policy
    Then these bounds hold
      | figure                   | arrival | weighted |
      | others relative to alone | < 0.97  | >= 0.99  |
      | work of the flood        | > 0     | > 0      |

  Scenario: Half of the endpoints go during the flood
    Guards against refusals that assume the capacity of before.
    When the load "half gone" runs with each policy
    Then these bounds hold
      | figure                   | arrival | weighted |
      | others relative to alone | < 0.99  | >= 0.99  |

  Scenario: Two large workspaces and 70 small ones send twice the capacity
    Guards against unequal parts, and against slots left idle for equal ones.
    When the load "two large" runs with each policy
    Then these bounds hold
      | figure            | arrival | weighted |
      | index of fairness | < 0.5   | >= 0.95  |
      | throughput        | >= 0.98 | >= 0.98  |

  Scenario: A workspace comes back after a pause
    Guards against a first call behind a flood, and against credit for the
    time of the pause.
    When the load "pause" runs with each policy
    Then these bounds hold
      | figure        | arrival | weighted |
      | first wait    | > 0.01  | <= 0.01  |
      | part after it |         | <= 0.55  |
      | part after it |         | >= 0.45  |

  Scenario: All calls of a workspace arrive at one host
    Guards against a host that takes the flood of a workspace on all hosts for
    as large as the calls that another one sends only there.
    When the load "one host" runs with each policy
    Then these bounds hold
      | figure                    | arrival | weighted |
      | part of its calls in time | < 0.8   | >= 0.95  |

  Scenario: A workspace of long calls and one of short calls
    Guards against shares of the number of calls instead of their work.
    When the load "long and short" runs with each policy
    Then these bounds hold
      | figure                  | arrival | weighted |
      | part of the short calls | < 0.4   | >= 0.45  |

  Scenario: Refused callers come back at different times
    Guards against retries that return together and are refused again, and
    against callers who wait for a refusal that is certain.
    When the load "retries" runs with each policy
    Then these bounds hold
      | figure           | arrival | weighted |
      | retries per call | > 3     | < 2      |
      | time to refusal  | >= 0.03 | <= 0.001 |
      | done             | >= 0.99 | >= 0.99  |

  Scenario: Calls that may wait for long meet some that may not
    Guards against a short wait of one call that refuses the others, which
    would be served within theirs.
    When the load "unequal waits" runs with each policy
    Then these bounds hold
      | figure            | arrival | weighted |
      | long waits served | >= 0.99 | >= 0.99  |

  Scenario: A hedge while a stream waits for a version that no endpoint has
    Guards against idle endpoints that hedges may not use for the sake of
    calls that can't use them either.
    When the load "idle hedge" runs with each policy
    Then these bounds hold
      | figure | arrival | weighted |
      | sent   | >= 1    | >= 1     |

  Scenario: A flood at the highest priority
    Guards against losses of others at that priority, and against starvation
    of the lower ones.
    When the load "priorities" runs with each policy
    Then these bounds hold
      | figure                 | arrival | weighted |
      | others of the priority | < 0.8   | >= 0.98  |
      | part of the lower one  | < 0.01  | >= 0.03  |

  Scenario: A trainer submits more than the engines can run
    Guards against steps of a small workspace that are late by the backlog of a
    large one, and against engine slots left idle for the sake of shares.
    When the load "trainers" runs with each policy
    Then these bounds hold
      | figure              | arrival | weighted |
      | small steps in time | < 5     | >= 5     |
      | end of all items    | <= 38.7 | <= 38.7  |
    And items of a workspace start in the order of their ranks

  Scenario: Shares delay no step while all work fits
    Guards against a step that is late because its workspace has more items.
    Also guards against one late item that nobody can run, which is no sign of
    too much work.
    Then steps that fit start in the order of their ranks
    And they also do while an item waits for a version that no engine has

  Scenario: Without workspaces the order is as before
    Guards against a changed order in deployments without workspaces, and
    against memory that grows with each item while one waits for long.
    Then requests without shares leave by priority, deadline and arrival
    And items that start while one waits for long leave no figures

  Scenario: Reward calls follow the shares
    Guards against items of a small job that wait for the rewards of a large
    one.
    Then a first reward call of another workspace passes 30 but one

  Scenario: Waiting reward calls follow a change of the workspaces
    Guards against a queue that is never empty and keeps the order of before.
    Then reward calls that wait follow the workspaces as soon as there are any

  Scenario: Items and reward calls follow the hints
    Guards against a workspace that floods all hosts and still gets its whole
    declared share of the engines and reward services at each of them.
    Then reward calls of a workspace with an excess of 4 are 1 of 5
    And items of a workspace with an excess of 4 are 1 of 5

  Scenario: Hosts learn which workspaces use more than their share
    Guards against a row that changes all the time or counts invalid figures.
    Also guards against old rows that stay in force.
    Given the work of three hosts by workspace
    Then the row lists w0 with an excess of 3.8
    And it is written when it changes, and renewed each 2 s
    And hosts divide the weight of w0 by it for 5 s

  Scenario: Metrics of many workspaces
    Guards against a label for each of 10,000 workspaces.
    Then at most 100 workspaces have labels of their own
