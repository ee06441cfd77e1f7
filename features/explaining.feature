Feature: The logs show the cause of a failed request
  Real daemons on loopback addresses. Faults are injected, then `anvilcove
  explain` has to find their causes from the logs alone. Two scenarios test the
  log writer without a daemon.

  Scenario: A refusal, a broken stream and an errored item are explained
    Guards against log lines without the id, the cause or the state on which a
    decision was based.
    Given a site of 2 daemons that logs to files
    When every plain server refuses requests and a request is sent
    Then its response is 503 with a Retry-After time
    And anvilcove explain names each server that refused and the status 503
    When every engine breaks streams off after 2 events and one is requested
    Then the connection of the stream ends before the stream is complete
    And anvilcove explain names the engine, the last event and the reason
    When a job whose reward calls fail is submitted
    Then its items are errored
    And anvilcove explain names the reward call of an item and its failures

  Scenario: Logging does not block when standard output is not read
    Guards against a daemon that waits for the reader of its standard output.
    Given a log writer whose reader has stopped reading
    When 20000 lines are logged
    Then logging did not block
    And the dropped lines are counted

  Scenario: Decisions are logged although the line budget is exceeded
    Guards against decisions that are dropped when many lines are logged at the
    same time.
    Given a log writer that writes to a file
    When 20000 lines are logged and a decision after every 100
    Then the log holds all 200 decisions and fewer than 1000 other lines
    And the dropped lines are counted
