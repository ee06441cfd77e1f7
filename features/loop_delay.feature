Feature: A daemon whose event loop is late tells why and loses no answers
  A process that is suspended, gets no processor or is busy runs its timers
  before it has read what arrived meanwhile.

  Scenario Outline: The log tells why the event loop was late
    Guards against gaps in the log of a daemon whose cause nobody can tell.
    Given the event loop of a daemon is late by <late> s
    And its thread ran for <ran> s and waited <waited> s for a processor
    Then the log names the delay of <late> s, caused as <cause>

    Examples:
      | late | ran | waited | cause             |
      | 4.0  | 3.9 | 0.1    | blocked           |
      | 4.0  | 0.3 | 3.7    | without processor |
      | 4.0  | 0.0 | 0.0    | suspended         |

  Scenario: A usual delay is not logged
    Guards against a log line for each short delay.
    Given the event loop of a daemon is late by 0.9 s
    Then nothing is logged, and the longest delay is 0.9 s

  Scenario Outline: Store calls that were answered do not fail after a delay
    Guards against a daemon that counts the store as lost, and each write as
    unknown, since it has not read the answers.
    Given a store that answers calls after 0.02 s
    When 6 calls with a timeout of 0.5 s are sent and the event loop is late by <late> s
    Then all calls are answered

    Examples:
      | late  |
      | 0.2   |
      | 0.489 |
      | 0.495 |
      | 0.55  |
      | 2     |

  Scenario: A store that does not answer is given up after a delay
    Guards against a timeout that a delay of the event loop lifts.
    Given a store that answers calls after 60 s
    When 6 calls with a timeout of 0.5 s are sent and the event loop is late by 2 s
    Then all calls are lost within 2.5 s

  Scenario: A store that does not answer is given up while the loop stays late
    Guards against a timeout that a loop which is late in each turn puts off
    without end.
    Given a store that answers calls after 60 s
    When 6 calls with a timeout of 0.5 s are sent and each turn of the event loop takes 0.5 s
    Then all calls are lost within 10 s

  Scenario: Items go on at their engines after a delay
    Guards against runs that end, and engines that are ejected, as the daemon
    has not read the events that they sent.
    Given a platform with 3 engines and daemons a, b and c
    When daemon a accepts job j1 with 24 items
    And 0.2 s go by
    And the event loop is late by 1.8 s
    And 20 s go by
    Then every daemon lists 24 completed results of job j1 in the same order
    And no item of job j1 ran twice
