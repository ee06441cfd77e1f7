Feature: A split route uses all of its services
  A route may name several services with weights. Each request prefers one of
  them, and goes to another one where that can't serve it. Daemons in one
  process with stand-ins in memory, on virtual time.

  Scenario Outline: Items of a route that is split <first> to <second>
    Guards against items that wait for the first service of their route while
    servers of the others are idle.
    Given a platform with <engines> engines of llm and <others> of llm-b
    And the route of jobs is split <first> to <second>
    When daemon a accepts job j1 with 208 items
    Then 12 s later all items of job j1 are listed as completed
    And no engine of a service without a weight has run an item

    Examples: The first service is small
      | first | second | engines | others |
      | 10    | 90     | 1       | 10     |
      | 90    | 10     | 1       | 10     |
      | 50    | 50     | 1       | 10     |

    Examples: A service has no server
      | first | second | engines | others |
      | 90    | 10     | 0       | 10     |
      | 10    | 90     | 0       | 10     |
      | 90    | 10     | 10      | 0      |

    Examples: Nothing is sent to a service without a weight
      | first | second | engines | others |
      | 0     | 100    | 3       | 10     |
      | 100   | 0      | 10      | 3      |

  Scenario: Items follow the weights while there is room
    Given a platform with 8 engines of llm and 8 of llm-b
    And the route of jobs is split 75 to 25
    When daemon a accepts job j1 with 800 items in groups of 4, run 40 at a time
    Then between 60 and 90 percent of the items ran at llm

  Scenario: Items that wait follow a route that moves
    Guards against items that wait for the service that their route has left.
    Given a platform with 1 engines of llm and 10 of llm-b
    When daemon a accepts job j1 with 208 items
    And 0.2 s go by
    And the route of jobs is split 0 to 100
    Then 12 s later all items of job j1 are listed as completed

  Scenario: Weights that change again and again lose no item
    Given a platform with 3 engines of llm and 3 of llm-b
    When daemon a accepts job j1 with 208 items
    And the weights of the route of jobs change 20 times within 4 s
    Then 20 s later all items of job j1 are listed as completed

  Scenario Outline: Requests of a route that is split <first> to <second>
    Guards against requests that are refused as the service of their id has no
    server, or no free slot while the other one has.
    Given a platform with <servers> servers of app and <others> of app-b
    And the route of requests is split <first> to <second>
    When 100 requests come at daemon a within 1 s
    Then all of them are answered 200

    Examples:
      | first | second | servers | others |
      | 90    | 10     | 0       | 3      |
      | 90    | 10     | 1       | 10     |
      | 10    | 90     | 0       | 3      |
      | 50    | 50     | 3       | 3      |

  Scenario Outline: Streams of a route that is split <first> to <second>
    Given a platform with <servers> servers of app and <others> of app-b
    And the route of streams is split <first> to <second>
    When 20 streams come at daemon a
    Then all of them are whole

    Examples:
      | first | second | servers | others |
      | 90    | 10     | 0       | 3      |
      | 10    | 90     | 3       | 0      |

  Scenario Outline: Reward calls of a route that is split <first> to <second>
    Guards against reward calls that are sent again and again to a service
    without a server.
    Given a platform with <servers> servers of app and <others> of app-b
    And the route of reward calls is split <first> to <second>
    When daemon a accepts job j1 with 208 items
    Then 12 s later all items of job j1 are listed as completed

    Examples:
      | first | second | servers | others |
      | 90    | 10     | 0       | 3      |
      | 90    | 10     | 1       | 8      |
      | 10    | 90     | 3       | 0      |

  Scenario: Reward calls that wait follow a route that moves
    Given a platform with 1 servers of app and 8 of app-b
    When daemon a accepts job j1 with 208 items
    And 0.4 s go by
    And the route of reward calls is split 0 to 100
    And all servers of app are gone
    Then 12 s later all items of job j1 are listed as completed

  Scenario: The order of services moves few keys when weights change
    Then of 10000 keys about 75 percent prefer a service of weight 3 to 1
    And about 8 percent of the keys move when weight 3 becomes 2
    And a service that is left out changes no other order
    And a service of weight 0 or less gets nothing unless all are so
