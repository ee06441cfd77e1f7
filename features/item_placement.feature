Feature: Long items run on the fastest engines
  Calls the decisions directly, without a network. The engines of a pool have
  two speeds, and most steps have a few items that take most of the time that
  the step may take.

  Scenario: Long items take the fast engines and short ones leave them free
    Guards against steps that end late because a long item runs on a slow
    engine: the pattern of two speeds of engines and one long item a step.
    Given 4 engines with a pace of 1.0 and 2 with a pace of 1.3, of 12 slots
    When 4 long and 20 short items start
    Then every long item runs on an engine with a pace of 1.0
    And every short item runs on an engine with a pace of 1.3

  Scenario: Short items use the fast engines once the others are full
    Guards against short items that wait although slots are free.
    Given 4 engines with a pace of 1.0 and 2 with a pace of 1.3, of 12 slots
    When 0 long and 72 short items start
    Then no slot is free

  Scenario: A long item waits for a fast slot that a short one holds
    Guards against a long item on a slow engine although a short item on a fast
    one ends soon.
    Given 1 engines with a pace of 1.0 and 1 with a pace of 1.3, of 12 slots
    And the engines with a pace of 1.0 run 12 short items each
    When 1 long and 0 short items start
    Then 1 item waits

  Scenario: A long item runs on a slower engine if the fast ones have only long
    Guards against long items that wait for others that end as late as they do.
    Given 1 engines with a pace of 1.0 and 1 with a pace of 1.3, of 12 slots
    And the engines with a pace of 1.0 run 12 long items each
    When 1 long and 0 short items start
    Then 0 items wait

  Scenario Outline: Length hints that are missing or wrong keep items in bounds
    Guards against hints that turn every item into a long one, or fail.
    Then an item with hint <hint>, <expected> s expected and a median of <median> is <kind>

    Examples:
      | hint | expected | median | kind  |
      | 0 | 0 | 0 | short |
      | -5 | 0 | 900 | short |
      | 900 | 0 | 900 | short |
      | 2000 | 0 | 900 | long |
      | 2000 | 1.0 | 900 | short |
      | 90000000000 | 6.75 | 900 | long |
      | 10 | nan | 900 | short |

  Scenario: Item that has run for long leaves an engine of the slower kind
    Guards against a step that ends 2.4 s late because an item whose hint was
    too low runs on a slower engine: the pattern of an item that outgrows its
    hint.
    Given an engine with 50 ms an event and one with 38 ms and 2 free slots
    When an item of the slower engine has made 60 events
    Then it is moved

  Scenario: Items that end early in their step stay on a slower engine
    Guards against connections that are opened for items that decide nothing.
    Given an engine with 50 ms an event and one with 38 ms and 2 free slots
    When an item of the slower engine has made 60 events 1 s after its start
    Then it is not moved

  Scenario: Items stay where a move gains less than it costs
    Guards against connections that are opened for nothing.
    Given an engine with 50 ms an event and one with 38 ms and 2 free slots
    When an item of the slower engine has made 10 events
    Then it is not moved

  Scenario: Items are not moved between engines of one speed
    Guards against moves that a brief load of prompts causes.
    Given an engine with 41 ms an event and one with 38 ms and 2 free slots
    When an item of the slower engine has made 190 events
    Then it is not moved

  Scenario: The usual interval of an engine ignores single late events
    Guards against an engine that counts as fast because its events are read
    two at a time, or as slow because of the prompts of new items.
    When an engine makes 60 events 40 ms apart that are read two at a time
    Then its interval is between 37 and 43 ms

  Scenario: An engine that turns slow is noticed, and again when it recovers
    Guards against items that stay on an engine that turned slow in mid-item.
    When an engine makes 60 events 40 ms apart
    And it makes 8 events 140 ms apart
    Then its interval is between 130 and 150 ms
    When 4 s pass without an event
    Then its interval is between 37 and 60 ms

  Scenario: An engine that sends its events in bursts does not look fast
    Guards against long items that all wait for one engine because its pace
    seems to be close to 0.
    When 3 engines make 60 events 40 ms apart and one sends them 60 at a time
    Then the pace of that engine is unknown and the others are equal
