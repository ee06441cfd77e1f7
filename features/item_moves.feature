Feature: Long items are moved away from engines that have become slow
  Calls the decisions directly, without a network. One engine is slow, and the
  others may be full of short items.

  Scenario: Items with the most events are moved though other engines are full
    Guards against the last items of a step that stay on a slow engine because
    items of later steps take each slot that becomes free.
    Given 6 engines with 8 slots, all full
    When engine 0 takes 2.8 times the median time per event
    Then 2 of its items are moved, those with the most events

  Scenario: Items are moved to other engines that have free slots
    Guards against items that stay on a slow engine although faster ones have
    free slots.
    Given 6 engines with 8 slots, of which 4 are in use
    When engine 0 takes 2.8 times the median time per event
    Then 4 of its items are moved, those with the most events

  Scenario: No item is moved when no other engine can be used
    Guards against items that lose their slot and find no other one.
    Given 6 engines with 8 slots, all full
    When engine 0 takes 2.8 times the median time per event
    And the other engines cannot be used
    Then 0 of its items are moved, those with the most events

  Scenario: No item is moved from an engine that is only a little slower
    Guards against moves that cost a connection and gain nothing.
    Given 6 engines with 8 slots, of which 4 are in use
    When engine 0 takes 1.5 times the median time per event
    Then 0 of its items are moved, those with the most events

  Scenario: Items wait for a fast engine while only the slow one has free slots
    Guards against a moved item that is sent back to the slow engine because
    only that one has free slots.
    Given 6 engines with 8 slots, all full
    When engine 0 takes 2.8 times the median time per event
    And 2 of its items have ended
    Then a waiting item is not sent to any engine
    When 1 item of engine 3 has ended
    Then a waiting item is sent to engine 3

  Scenario: Items are sent to a slow engine when there is no other
    Guards against items that wait for a faster engine although there is none.
    Given 1 engines with 8 slots, of which 4 are in use
    When engine 0 takes 2.8 times the median time per event
    Then a waiting item is sent to engine 0
