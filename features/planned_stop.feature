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

  Scenario Outline: After answers of <samples>, a request with <left> s left is <outcome>
    Guards against a stop that refuses what it could complete, and against one
    that takes requests of a route of which it knows nothing.
    Given the last answers of the route took <samples>
    Then a request with a limit of 10 s and <left> s left is <outcome>

    Examples:
      | samples     | left | outcome |
      | 0.1 s, 1 s  | 1.5  | taken   |
      | 0.1 s, 1 s  | 1.3  | refused |
      | 0.1 s       | 0.4  | taken   |
      | nothing     | 9.9  | refused |
      | nothing     | 10   | taken   |
      | 30 s        | 10   | taken   |

  Scenario: Times are kept for a bounded number of routes
    Guards against memory that grows with each route that operators replace.
    Given the answers of 10000 routes were timed, with the route home in between
    Then the times of at most 500 routes are kept, that of home among them

  Scenario: A stopping daemon declines calls of its peers and ends those in flight
    Guards against a call that a cut host sends through a peer which stops.
    Given a peer that relays a call of 0.5 s
    When the peer stops relaying and gets a second call
    Then the first call is answered and the second one was declined
