Feature: Real daemons keep the promises while faults strike
  Daemons as separate processes on loopback addresses before the stand-in of
  the users' platform; faults from outside. Seeds that ever failed stand below
  with their cause.

  Scenario: A short run without faults serves everything
    Guards against a path that only works under the users' bench.
    Given a soak of seed 7 with 0 faults in 5 s
    Then no promise was broken
    And every kind of request was answered
    And every log line of the daemons is one JSON object

  Scenario: A short seeded run
    Guards against faults that only appear between real processes.
    Given a soak of seed 11 with 6 faults in 8 s
    Then no promise was broken

  Scenario: Two faults start the same daemon
    Guards against a process that nobody ends; seeds 208 to 221 failed for it,
    since later daemons found their address in use.
    Given a site of 2 daemons that logs to files
    When two faults kill and start the same daemon at once
    Then one process of it lives
    And stopping the site leaves none
