Feature: Callers are admitted by the keys of workspaces
  Daemons as processes, with stand-ins of the platform's store and servers.
  Guards against callers who reach endpoints without a key or under another
  name, and against keys that are seen anywhere behind the listener.

  Background: Two workspaces
    Given 2 daemons with the workspaces
      | name | keys                  | priority |
      | a    | key-a1, key-a2, key-x |          |
      | b    | key-b1, key-x, schlüssel |  0    |
      | c    |                       |          |

  Scenario: Each call of a kept connection is judged by its own key
    Guards against a check at the connection, against a lenient reading of the
    header, against names of workspaces that callers choose.
    Then these calls on one connection to each daemon get
      | headers                                         | status | workspace |
      | Authorization: Bearer key-a1                    | 200    | a         |
      | Authorization: Bearer key-b1                    | 200    | b         |
      | authorization: bEARER key-a2                    | 200    | a         |
      | Authorization: Bearer key-a1_                   | 200    | a         |
      | Authorization: Bearer schlüssel                 | 200    | b         |
      | Authorization: Bearer key-a1; Tenant: b         | 200    | a         |
      | Authorization: Bearer key-a1; tenant: b; TENANT: c | 200 | a         |
      |                                                 | 401    |           |
      | Tenant: a                                       | 401    |           |
      | Authorization: key-a1                           | 401    |           |
      | Authorization: Basic key-a1                     | 401    |           |
      | Authorization: Bearer                           | 401    |           |
      | Authorization: Bearer key-a3                    | 401    |           |
      | Authorization: Bearer KEY-A1                    | 401    |           |
      | Authorization: Bearer key-x                     | 401    |           |
      | Authorization: Bearer 8KB                       | 401    |           |
      | Authorization: Bearer schlussel                 | 401    |           |
      | Authorization: Bearer key-a1; Authorization: Bearer key-a1 | 401 |   |
      | Authorization: Bearer key-a2                    | 200    | a         |
    And no server got a key
    And no key is in a log or in a row of the daemons

  Scenario: Malformed requests show no key
    Guards against keys that the parser quotes in logs and answers.
    Then these headers are answered with 400 without their text
      | header                        |
      | Authorization : Bearer key-a1 |
      | Authorization: Bearer key-a1\x01 |
      | Authorization: Bearer 90KB key-a1 |
    And no key is in a log or in a row of the daemons

  Scenario: Public routes need no key, and unknown routes are told first
    Guards against a key or a chosen name that passes on a public route.
    Then these calls on one connection to each daemon get
      | path     | headers                                | status | workspace |
      | /public/ |                                        | 200    |           |
      | /public/ | Tenant: a                              | 200    |           |
      | /public/ | Authorization: Bearer key-zz; Tenant: a | 200   |           |
      | /public/ | Authorization: Bearer key-b1           | 200    | b         |
      | /none/   |                                        | 404    |           |
      | /-/none  |                                        | 404    |           |
    And no server got a key

  Scenario: Keys that are added, moved and taken away count from now on
    Guards against keys that live on with a connection or at one daemon, and
    against a configuration that goes back.
    When the workspaces become, in version 2
      | name | keys           |
      | a    | key-a2, key-b1 |
      | b    | key-b2         |
      | c    |                |
    Then within 3 s these calls get at each daemon
      | headers                      | status | workspace |
      | Authorization: Bearer key-a1 | 401    |           |
      | Authorization: Bearer key-a2 | 200    | a         |
      | Authorization: Bearer key-b1 | 200    | a         |
      | Authorization: Bearer key-b2 | 200    | b         |
    When the workspaces become, in version 1
      | name | keys   |
      | a    | key-a1 |
    And 1 s of real time goes by
    Then these calls on one connection to each daemon get
      | headers                      | status | workspace |
      | Authorization: Bearer key-a1 | 401    |           |
      | Authorization: Bearer key-b1 | 200    | a         |

  Scenario: A key that is taken away while the body arrives is refused
    Guards against a call that runs long after its key is gone, and against
    one that passes its key on because the workspaces went meanwhile.
    Given a call with key-a1 at each daemon whose body has not arrived
    When the workspaces become, in version 2
      | name | keys   |
      | b    | key-b1 |
    And 3 s of real time goes by
    Then the call is answered with 401 when its body arrives

  Scenario: A body that never arrives does not delay a refusal
    Guards against callers that hold connections without a key.
    Then a call with key-a3 is answered with 401 before its body

  Scenario: A daemon that is cut from the store goes on with what it knows
    Guards against refusals of valid keys during an outage of the store.
    When daemon 0 is cut from the store for 2 s
    Then these calls on one connection to each daemon get
      | headers                      | status | workspace |
      | Authorization: Bearer key-a1 | 200    | a         |
      | Authorization: Bearer key-a3 | 401    |           |

  Scenario: A call through a peer carries the name and no key
    Guards against keys in the messages between daemons.
    Given daemon 0 is cut from all servers
    Then within 25 s these calls get at each daemon
      | headers                      | status | workspace |
      | Authorization: Bearer key-b1 | 200    | b         |
    And no server got a key
    And no key is in a log or in a row of the daemons

  Scenario: A job belongs to the workspace whose key submitted it
    Guards against results that another customer reads or ends, and against
    answers that tell of the job of another.
    When job j1 is submitted with key-a1
    Then the answer is 202
    And job j1 is answered to each key at each daemon with
      | key    | read | body | end |
      | none   | 401  | 401  | 401 |
      | key-a3 | 401  | 401  | 401 |
      | key-b1 | 404  | 404  | 404 |
      | key-a2 | 200  | 200  | -   |
    When job j1 is submitted with key-b1
    Then the answer is 404
    When job j1 is submitted with key-a2
    Then the answer is 202
    And job j1 gets its 8 results with key-a2
    And its items ran for workspace a, its reward calls for none
    And no server got a key
    When the row of job j1 is written without its workspace
    Then job j1 is answered to each key at each daemon with
      | key    | read | body | end |
      | key-b1 | 404  | 404  | 404 |
      | key-a1 | 200  | 200  | 200 |

  Scenario: A submission that is stored without its row keeps its workspace
    Guards against a row for another workspace, if the daemon that accepted
    the submission died before it wrote the row.
    Given the submission of job j9 by workspace a is stored without a row
    When job j9 is submitted with key-b1
    Then the answer is 404
    And job j9 has no row

  Scenario: A job of an earlier build is still served
    Guards against trainers who lose the jobs that they submitted before there
    were workspaces, and against keys in the items of such jobs.
    Given the submission of job j8 by an earlier build is stored without a row
    When job j8 is submitted with key-a1
    Then the answer is 202
    And job j8 gets its 8 results with key-a2
    And no engine got a key or the name that its items chose
    And items that are stored with a key are sent without it

  Scenario: A job goes on when its workspace loses all keys
    Guards against a revoked key that ends accepted work.
    When job j2 is submitted with key-b1
    And the workspaces become, in version 2
      | name | keys   |
      | a    | key-a1 |
      | b    |        |
    And 3 s of real time goes by
    And the workspaces become, in version 3
      | name | keys   |
      | a    | key-a1 |
      | b    | key-b9 |
    Then job j2 gets its 8 results with key-b9
    And its items ran for workspace b, its reward calls for none

  Scenario: Denied calls and calls by workspace are counted and explained
    Guards against operators who cannot tell who calls, or who is refused.
    Then these calls on one connection to each daemon get
      | headers                      | status | workspace |
      | Authorization: Bearer key-a1 | 200    | a         |
      | Authorization: Bearer key-a3 | 401    |           |
    And the metrics of each daemon contain
      | line                                                               |
      | anvilcove_requests_by_workspace_total{status="200",workspace="a"} 1 |
      | anvilcove_access_denied_total{reason="unknown key",route="shop"} 1 |
    And the log explains a denied call without its key

  Scenario: A daemon without a configuration judges no call
    Guards against calls and reads that are served, or refused as unknown,
    before the keys are known.
    When job j1 is submitted with key-a1
    Then the answer is 202
    Given a daemon that starts when the store has no configuration
    Then it answers 503 to calls, reads and ends, with a key and without
