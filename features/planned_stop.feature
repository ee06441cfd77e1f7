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
