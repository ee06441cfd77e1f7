Feature: Callers are told daemons that live and stay
  Daemons over a store in memory, on virtual time.

  Scenario: A daemon that died is soon no longer named
    Guards against a time of silence that counts from the first question.
    Given a platform with 1 engines and daemons a, b and c
    When daemon b is killed
    And 4 s go by
    Then daemon a names the daemons a and c

  Scenario: A daemon that is stopped is no longer named at once
    Guards against new callers of a daemon that leaves.
    Given a platform with 1 engines and daemons a, b and c
    When daemon b is asked to stop
    And 0.5 s go by
    Then daemon a names the daemons a and c

  Scenario: The store is away and nobody can beat
    Guards against an answer without addresses during an outage.
    Given a platform with 1 engines and daemons a, b and c
    When the store is unavailable for 8 s
    Then daemon a names the daemons a, b and c
