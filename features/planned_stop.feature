Feature: A planned stop cuts no request
  Real daemons on loopback addresses.

  Scenario: A daemon is stopped while it answers requests
    Guards against requests that are cut, or refused, by a planned stop.
    Given a site of 2 daemons that logs to files
    And every plain server works for 1 s on a request
    When 6 requests are sent and the daemon gets SIGTERM 0.2 s later
    And a request is sent on an open connection after that
    Then all of them are answered in whole
    And the daemon ends by itself within its grace period
