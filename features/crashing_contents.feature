Feature: A content that crashes the servers that run it is no longer sent
  Daemons on virtual time, with a store, engines and services in memory. A
  crashed server refuses connections for 4 s and is then another start. The
  scenarios guard against contents that crash server after server, and against
  refusals of the contents that were in flight at those servers.

  Scenario: A request that crashes its services is refused by every daemon
    Given a platform with 8 services and daemons a, b and c
    And each service crashes when it begins to run the body poison
    When the body poison is sent 12 times, every 0.4 s to the next daemon, beside 600 others
    Then at most 3 starts of services crashed
    And the last 8 requests with the body poison were refused with a Retry-After time
    And all other requests were answered and none was refused for its content

  Scenario: Requests in flight at two services that crashed are not refused
    Guards against refusals of contents that were in flight at both crashes.
    Given a platform with 4 services and daemons a, b and c
    And each service crashes when it begins to run the body poison
    And every service takes 0.2 s in memory
    When the body poison is sent 12 times, every 0.4 s to the next daemon, beside 600 others
    Then at most 3 starts of services crashed
    And other requests were in flight at two crashes
    And all other requests were answered and none was refused for its content

  Scenario: A request that is sent again at once is refused by the next daemon
    Given a platform with 8 services and daemons a, b and c
    And each service crashes when it begins to run the body poison
    When the body poison is sent 4 times, every 0 s to the next daemon, beside 0 others
    Then at most 2 starts of services crashed

  Scenario: A failed run of another server does not clear a content
    Guards against a content that crashes server after server because servers
    that fail all requests answer it in between.
    Given a platform with 8 services and daemons a, b and c
    And each service crashes when it begins to run the body poison
    And services 0, 1, 2, 3 and 4 fail every request at once
    When the body poison is sent 40 times, every 5 s to the next daemon, beside 0 others
    Then at most 3 starts of services crashed

  Scenario: A content stays refused after the loss of all daemons
    Given a platform with 8 services and daemons a, b and c
    And each service crashes when it begins to run the body poison
    When the body poison is sent 6 times, every 0.4 s to the next daemon, beside 0 others
    And all daemons are killed and started again
    And the body poison is sent 6 times, every 0.4 s to the next daemon, beside 300 others
    Then at most 2 starts of services crashed
    And the last 6 requests with the body poison were refused with a Retry-After time
    And all other requests were answered and none was refused for its content

  Scenario: A request that may run only once is not refused after it has run
    Guards against the answer "not run" for a request that has crashed a server.
    Given a platform with 8 services and daemons a, b and c
    And requests of the shop route may run only once
    And each service crashes when it begins to run the body poison
    When the body poison is sent 6 times, every 1 s to the next daemon, beside 0 others
    Then at most 2 starts of services crashed
    And the requests with the body poison ended with 502, 502, 503, 503, 503 and 503

  Scenario: A stream that crashes its services is refused
    Given a platform with 8 services and daemons a, b and c
    And the shop route serves streams that may be resumed
    And each service crashes when it begins to run the body poison
    When streams with the body poison are requested 6 times, every 0.4 s from the next daemon
    Then at most 2 starts of services crashed
    And the last 4 requests with the body poison were refused with a Retry-After time

  Scenario Outline: A call that is owed is sent again soon after several crashes
    Guards against items that are never placed again after servers have crashed
    while they ran them, although all is calm and there is room.
    Given a platform with 6 engines and daemons a, b and c
    And <crashes> servers crash while they run <call> 5 of job j1
    When daemon a accepts job j1 with 16 items
    And <seconds> s go by
    Then every daemon lists 16 completed results of job j1 in the same order

    Examples:
      | crashes | call                    | seconds |
      | 2       | the item                | 5       |
      | 4       | the item                | 10      |
      | 6       | the item                | 20      |
      | 2       | the reward call of item | 5       |
      | 4       | the reward call of item | 10      |

  Scenario: An item that crashes its engines is sent with a delay, the others complete
    Guards against engines that crash in quick succession under one item. Two
    runs are free; delays of 0.5, 1, 2 and then 3 s allow 10 runs in 20 s and
    17 in the 40 s of its lifetime.
    Given a platform with 6 engines and daemons a, b and c
    And the body of item 5 of job j1 crashes each server that begins to run it
    When daemon a accepts job j1 with 16 items
    And 20 s go by
    Then at most 10 starts of engines crashed
    And daemon b lists 15 completed results of job j1 and none of item 5
    When all daemons are killed and started again
    And 25 s go by
    Then at most 17 starts of engines crashed
    And only item 5 of job j1 is errored

  Scenario: A reward call that crashes its services is sent with a delay
    Guards against services that crash in quick succession under one call; the
    bounds are those of an item.
    Given a platform with 3 engines and daemons a, b and c
    And the body of the reward call of item 5 of job j1 crashes each server that begins to run it
    When daemon a accepts job j1 with 16 items
    And 20 s go by
    Then at most 10 starts of services crashed
    And daemon b lists 15 completed results of job j1 and none of item 5
    When 25 s go by
    Then at most 17 starts of services crashed
    And only item 5 of job j1 is errored

  Scenario: Connections that break do not count as crashes
    Guards against refusals of contents whose servers go on running.
    Given a platform with 3 services and daemons a, b and c
    And every service breaks the connection while it runs a request
    When the body harmless is sent 9 times, every 0.4 s to the next daemon, beside 0 others
    And no service breaks connections any more
    And the body harmless is sent 3 times, every 0.4 s to the next daemon, beside 0 others
    Then the last 3 requests with the body harmless were answered
    And each service got at most 1 connection per daemon and 3 s to check it

  Scenario: A crash that is known only by the entry of its server counts
    Guards against servers whose address still accepts connections.
    Given a platform with 8 services and daemons a, b and c
    And each service crashes when it begins to run the body poison
    And crashed services accept connections that break
    When the body poison is sent 12 times, every 4 s to the next daemon, beside 0 others
    Then at most 4 starts of services crashed
    And the last 4 requests with the body poison were refused with a Retry-After time

  Scenario Outline: A content that completes elsewhere is not held responsible
    Guards against refusals of contents that were in flight at crashes that
    others caused, also when a crash is confirmed only after they completed.
    Given a platform with 4 services and daemons a, b and c
    And every service takes 0.2 s in memory
    And crashed services <connections>
    When the body harmless is sent <count> times, every <pause> s to the next daemon, and its service crashes each time
    And 5 s go by
    And the body harmless is sent 3 times, every 0.4 s to the next daemon, beside 0 others
    Then all requests with the body harmless were answered

    Examples:
      | connections                   | count | pause |
      | refuse connections            | 4     | 5     |
      | accept connections that break | 2     | 0.2   |

  Scenario: Items that complete after a crash are not held back in later jobs
    Given a platform with 1 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And engine 0 crashes 0.02 s after it began to run items, and 15 s go by
    And daemon b accepts job j2 with 16 items
    And engine 0 crashes 0.02 s after it began to run items, and 15 s go by
    And daemon c accepts job j3 with 16 items
    And engine 0 crashes 0.02 s after it began to run items, and 15 s go by
    And daemon a accepts job j4 with 16 items
    And 10 s go by
    Then every daemon lists 16 completed results of job j4 in the same order

  Scenario: One connection tells whether an address refuses connections
    Given an address of this machine on which nothing listens
    Then a probe of the address is refused
    When a server listens on the address
    Then a probe of the address is not refused

  Scenario: Items at an engine that crashes again and again complete
    Guards against items that are held until their lifetime ends because one
    engine crashes for a reason of its own.
    Given a platform with 1 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And engine 0 crashes 0.02 s after it began to run items, and 0.5 s go by
    And engine 0 crashes 0.02 s after it began to run items, and 0.5 s go by
    And engine 0 crashes 0.02 s after it began to run items, and 0.5 s go by
    And 10 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: Records of crashes are bounded and forgotten everywhere
    Guards against a heartbeat that grows with each crash, and against a content
    that is refused for ever because daemons pass its old record on.
    Given two quarantines with a content that crashed 2 endpoints
    When 86300 s go by and the first passes its records to the second
    And 200 s go by and the second passes its records to the first
    Then neither rejects the content
    When a content is in flight at 400 crashes and finishes after each
    Then the first shares at most 64 counts
    When 61 s go by and the second passes its records to the first
    Then the first shares at most 0 counts

  Scenario: An item that only ran beside contents that crash engines completes
    Guards against an item that is held until its lifetime ends because two
    other items of its job crashed each engine that it ran on.
    Given a platform with 3 engines and daemons a, b and c
    And the body of item 5 of job j1 crashes each server that begins to run it
    And the body of item 6 of job j1 crashes each server that begins to run it
    When daemon a accepts job j1 with 16 items
    And 25 s go by
    Then daemon b lists 14 completed results of job j1 and none of items 5 and 6
