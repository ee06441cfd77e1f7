Feature: Callers receive the addresses of daemons that run and are not stopping
  Runs the daemons in one process with a store in memory and simulated time.

  Scenario: A daemon that was killed is omitted after its heartbeats stop
    Guards against a time without heartbeats that is counted from the first
    query instead of the last heartbeat.
    Given a platform with 1 engines and daemons a, b and c
    When daemon b is killed
    And 4 s go by
    Then daemon a names the daemons a and c

  Scenario: A daemon that is asked to stop is omitted at once
    Guards against callers that connect to a daemon that is shutting down.
    Given a platform with 1 engines and daemons a, b and c
    When daemon b is asked to stop
    And 0.5 s go by
    Then daemon a names the daemons a and c

  Scenario: All daemons stay listed during a store outage
    Guards against an empty list: no daemon can write its heartbeat then.
    Given a platform with 1 engines and daemons a, b and c
    When the store is unavailable for 8 s
    Then daemon a names the daemons a, b and c
