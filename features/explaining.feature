Feature: On-call engineers find the cause of a failed request in the logs
  Real daemons on loopback addresses; faults are injected, then only the logs
  and `anvilcove explain` are used.

  Scenario: Three kinds of failed request
    Guards against lines that miss the id, the cause or the knowledge that a
    decision rested on.
    Given a site of 2 daemons that logs to files
    When every plain server refuses and a request is sent
    Then its answer is 503 with a time to come back
    And explaining it names each server that refused and the status 503
    When every engine breaks streams off after 2 events and a stream is asked
    Then the stream ends without its end
    And explaining it names the engine, the last event and the reason
    When the rewards of a job fail and it is submitted
    Then its items are errored
    And explaining one of them names its reward call and the failures

  Scenario: Nobody reads the log
    Guards against a daemon that waits for the reader of its standard output.
    Given a log writer whose reader has stopped
    When 20000 lines are logged
    Then logging never waited
    And the lines that were left out are counted

  Scenario: More lines are logged than the budget allows
    Guards against decisions that are left out just when many things happen.
    Given a log writer that writes to a file
    When 20000 lines are logged and a decision after every 100
    Then the log holds all 200 decisions and fewer than 1000 other lines
    And the lines that were left out are counted
