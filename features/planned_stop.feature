Feature: A planned stop interrupts no request
  Real daemons on loopback addresses.

  Scenario: A daemon that gets SIGTERM completes its requests and ends
    Guards against requests that are cut off or refused because of a planned
    stop.
    Given a site of 2 daemons that logs to files
    And every plain server takes 1 s for a request
    When 6 requests are sent and the daemon gets SIGTERM 0.2 s later
    And a request is sent on an open connection after that
    Then all of them get complete responses
    And the daemon ends by itself within its grace period

  Scenario Outline: Requests on kept connections through a stop are answered
    Guards against requests that are passed on to a server and cut when the
    daemon closes its connections: callers keep using an open connection as
    long as their lookup holds.
    Given a site of 2 daemons that logs to files
    And every plain server takes 1 s for a request
    When 20 callers have each used a kept connection to <path> and send on it every 0.2 s from SIGTERM on
    Then no request that reached a server lost its answer
    And some requests were completed and later ones refused at once with a Retry-After time of 0

    Examples:
      | path    |
      | /shop/  |
      | /once/  |

  Scenario: Requests that last longer than those before are not cut
    Guards against a stopping daemon that takes requests by the times of those
    before, and cuts them: requests of one route differ in length.
    Given a site of 2 daemons that logs to files
    When 34 callers have each used a kept connection to /once/ and send requests of 1.6 s on it every 0.2 s from SIGTERM on
    Then no request that reached a server lost its answer
    And some requests were completed and later ones refused at once with a Retry-After time of 0

  Scenario Outline: A request <since> s after the begin of a stop is <outcome>
    Guards against a stop that takes what it may have to cut, and against one
    that refuses what it surely completes. The connections close 6.8 s after
    the begin of the stop, the process is killed <grace> s after it.
    Given the last answers of the route took <samples>
    Then <kind> with a limit of <limit> s is <outcome> <since> s after the begin with a grace period of <grace> s

    Examples: Certain ends
      | samples | kind                   | limit | since | grace | outcome |
      | nothing | a repeatable request   | 2     | 0     | 8     | taken   |
      | 30 s    | a repeatable request   | 2     | 4.5   | 8     | taken   |
      | 0.04 s  | a repeatable request   | 2     | 4.7   | 8     | refused |
      | 0.04 s  | a repeatable request   | 2     | 6.0   | 8     | refused |
      | 0.04 s  | a request that runs once | 2   | 4.5   | 8     | taken   |
      | 0.04 s  | a request that runs once | 2   | 4.7   | 8     | refused |
      | 0.04 s  | a repeatable request   | 0.1   | 6.4   | 8     | taken   |
      | 0.04 s  | a repeatable request   | 0.1   | 6.7   | 8     | refused |

    Examples: Estimates, early in the stop only
      | samples     | kind                     | limit | since | grace | outcome |
      | 0.1 s, 1 s  | a repeatable request     | 10    | 2.9   | 8     | taken   |
      | 0.1 s, 1 s  | a repeatable request     | 10    | 3.1   | 8     | refused |
      | 0.1 s, 3 s  | a repeatable request     | 10    | 2.9   | 8     | taken   |
      | 0.1 s, 3.1 s | a repeatable request    | 10    | 2.9   | 8     | refused |
      | nothing     | a repeatable request     | 10    | 0     | 8     | refused |
      | 0.1 s       | a request that runs once | 10    | 0     | 8     | refused |
      | 0.1 s       | a repeatable request     | 10    | 2.9   | 9     | refused |

  Scenario: A request that comes while a daemon closes is refused
    Guards against a request that is taken after the last one in flight has
    ended, and cut when the connections close.
    Given a daemon that stops with nothing in flight
    When a request comes while it writes its last counts
    Then the request was refused

  Scenario: Times are kept for a bounded number of routes
    Guards against memory that grows with each route that operators replace.
    Given the answers of 10000 routes were timed, with the route home in between
    Then the times of at most 500 routes are kept, that of home among them

  Scenario: A stopping daemon declines calls of its peers and ends those in flight
    Guards against a call that a cut host sends through a peer which stops.
    Given a peer that relays a call of 0.5 s
    When the peer stops relaying and gets a second call
    Then the first call is answered and the second one was declined
