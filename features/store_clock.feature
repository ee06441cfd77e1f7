Feature: The clocks of hosts and of the store have nothing in common
  Daemons on virtual time, each with an origin of its own for its clock, and a
  store whose clock has another one. A restart of the store changes the origin
  of its clock. The last scenarios call the relation of two clocks directly.

  Scenario: The store's time is unknown before its first answer
    Guards against a time that is extrapolated from zero on the host's clock.
    Given a relation of a clock to that of the store
    Then neither bound of the store's time is known

  Scenario: Bounds of the store's time hold with late answers
    Guards against an answer that was long on its way and counts as new.
    Given a relation of a clock to that of the store
    When a call sent at 100.0 s is answered at 102.0 s with 5000500 ms
    Then at 102.0 s the store's time is at most 5002501 ms
    And 5001000 ms of the store's time were reached by 102.5 s
    When a call sent at 103.0 s is answered at 103.1 s with 5002550 ms
    Then at 103.1 s the store's time is at most 5002651 ms
    And 5002550 ms of the store's time were reached by 103.1 s
    When a call sent at 104.0 s is answered at 106.0 s with 5003600 ms
    Then it has not noticed a restart of the store
    And at 106.0 s the store's time is at most 5005554 ms
    And 5005450 ms of the store's time were reached by 106.003 s

  Scenario Outline: A restart of the store is noticed
    Guards against times of two clocks that count as times of one.
    Given a relation of a clock to that of the store
    When a call sent at 100.0 s is answered at 100.1 s with 5000000 ms
    And a call sent at 110.0 s is answered at 110.1 s with <store_ms> ms
    Then it has noticed a restart of the store at 110.1 s

    Examples:
      | store_ms |
      | 4000 |
      | 5009500 |
      | 5010500 |
      | 9000000 |
