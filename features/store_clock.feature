Feature: The clocks of hosts and of the store have nothing in common
  Daemons on virtual time, each with an origin of its own for its clock, and a
  store whose clock has another one. A restart of the store changes the origin
  of its clock. The last scenarios call the relation of two clocks directly.

  Scenario Outline: A restart of the store does not change when engines are free
    Guards against a new holder that compares store times from before and after
    a restart of the store: behind a higher clock it orders engines too early,
    behind a lower one it orders none for as long as the clock is behind.
    Given a platform with 1 engine, daemons a, b and c and unrelated clocks
    When 2 s go by while engines announce their versions
    And version 3 is named and the engine has been ordered to load it
    And the holder of the orders lease is <ended>
    And the clock of the store jumps by <jump> s
    And version 5 is named
    And 14 s go by while engines announce their versions
    Then every engine holds version 5 in the end
    And new holders order an engine at least 3 s after the former ones, with higher fencing tokens

    Examples:
      | ended | jump |
      | killed | 60 |
      | killed | 2 |
      | killed | -60 |
      | asked to stop | 60 |
      | asked to stop | 2 |
      | asked to stop | -60 |

  Scenario Outline: A daemon that starts does not trust times from before
    Guards against a daemon that knows no answer from before a restart of the
    store, and can't notice that the clock of the store has changed.
    Given a platform with 1 engine, daemons a, b and c and unrelated clocks
    When 2 s go by while engines announce their versions
    And version 3 is named and the engine has been ordered to load it
    And all daemons and the store end and daemons d and e start, the clock of the store <jump> s on
    And version 5 is named
    And 14 s go by while engines announce their versions
    Then every engine holds version 5 in the end
    And new holders order an engine at least 3 s after the former ones, with higher fencing tokens

    Examples:
      | jump |
      | 60 |
      | 2 |
      | -60 |

  Scenario: A holder may act although the store answers from two clocks
    Guards against a holder that announces again and again because each answer
    contradicts the one before.
    Given two daemons with unrelated clocks that request the orders lease
    And answers to the first one with times of two clocks in turn
    When the first one acquires it by a call whose answer takes 0.0 s
    And the second one looks on for 6 s and polls fast
    And it announces an engine and releases the lease
    And the second one acquires it
    Then the engine is not free before 4.6 s after the announcement

  Scenario Outline: An engine is free once its former holder is done with it
    Guards against store times that are estimated from an answer that was long
    on its way, and against an engine that is kept free for longer than needed
    while all clocks are sound.
    Given two daemons with unrelated clocks that request the orders lease
    When the first one acquires it by a call whose answer takes 0.0 s
    And the second one looks on for 6 s and polls <pace>
    And the first one renews the lease by a call whose answer takes <delay> s
    And it announces an engine and releases the lease
    And the second one acquires it
    Then the engine is free from 4.6 s after the announcement, at most 0.05 s later

    Examples:
      | delay | pace |
      | 0.0 | fast |
      | 1.9 | fast |
      | 0.0 | slowly |
      | 1.9 | slowly |

  Scenario Outline: A holder that has just started announces the right time
    Guards against the same error while all known answers were late.
    Given two daemons with unrelated clocks that request the orders lease
    When the first one acquires it by a call whose answer takes <delay> s
    And the second one looks on for 0 s and polls fast
    And it announces an engine and releases the lease
    And the second one acquires it
    Then the engine is free from 4.6 s after the announcement, at most 0.05 s later

    Examples:
      | delay |
      | 0.0 |
      | 1.9 |

  Scenario Outline: A successor whose own answers are late waits no shorter
    Guards against the same error at the side that reads the announcement.
    Given two daemons with unrelated clocks that request the orders lease
    When the first one acquires it by a call whose answer takes 0.0 s
    And the answers to the second one take <before> s
    And the second one looks on for 6 s and polls fast
    And the answers to the second one take <after> s
    And it announces an engine and releases the lease
    And the second one acquires it
    Then the engine is not free before 4.6 s after the announcement

    Examples:
      | before | after |
      | 0.0 | 1.5 |
      | 1.5 | 1.5 |
      | 1.5 | 0.0 |

  Scenario: A daemon that starts counts the time for which it has known the row
    Guards against an engine that no daemon orders for longer than needed after
    a restart of the store and all daemons.
    Given two daemons with unrelated clocks that request the orders lease
    When the first one acquires it by a call whose answer takes 0.0 s
    And it announces an engine and is killed
    And the store restarts with its clock -60 s on
    And the second one looks on for 0 s and polls fast
    And the second one acquires it
    Then the engine is free from 4.6 s after the announcement, at most 0.05 s later

  Scenario Outline: The holder announces again after a restart of the store
    Guards against an announcement that bears a time of the clock before the
    restart, on which the holder acts and which its successor takes for old. The
    successor has read the row at most 3 s after it was written.
    Given two daemons with unrelated clocks that request the orders lease
    When the first one acquires it by a call whose answer takes 0.0 s
    And the second one looks on for 6 s and polls <pace>
    And the holder has just renewed it
    And the store restarts with its clock <jump> s on
    And both request the lease for <time> s more
    And it announces an engine and <end>
    And the second one acquires it
    Then the engine is free from 4.6 s after the announcement, at most 3.1 s later

    Examples:
      | jump | pace | time | end |
      | 60 | fast | 0.00 | releases the lease |
      | -60 | fast | 0.00 | releases the lease |
      | 60 | slowly | 0.00 | releases the lease |
      | -60 | slowly | 0.00 | releases the lease |
      | 60 | fast | 0.65 | releases the lease |
      | 60 | fast | 0.65 | is killed |
      | -60 | fast | 0.65 | is killed |

  Scenario: Rows of the version before are read, and read ours
    Guards against a rolling update in which a daemon ignores announcements.
    Given two daemons with unrelated clocks that request the orders lease
    When the row of the lease was released by a daemon of the version before that had announced an engine 1 s ago
    And the second one looks on for 0 s and polls fast
    And the second one acquires it
    Then the engine is blocked for at least 3.4 s more
    And a daemon of the version before reads the announcement from the row

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
