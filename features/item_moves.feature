Feature: Long items leave engines that have turned slow
  The decision alone, without a network: some engines are slow while all
  others are full of short items.

  Scenario: Every other engine is full
    Guards against the last items of a step that stay on a slow engine because
    items of later steps take each slot that becomes free.
    Given 6 engines with 8 slots, all full
    When engine 0 takes 2.8 times as long for an event
    Then 2 of its items are moved, those with the most events

  Scenario: Other engines have free slots
    Guards against items that stay on a slow engine for no reason.
    Given 6 engines with 8 slots, of which 4 are in use
    When engine 0 takes 2.8 times as long for an event
    Then 4 of its items are moved, those with the most events

  Scenario: The other engines cannot be used
    Guards against items that lose their slot and find no other one.
    Given 6 engines with 8 slots, all full
    When engine 0 takes 2.8 times as long for an event
    And the other engines cannot be used
    Then 0 of its items are moved, those with the most events

  Scenario: A full engine is a little slower than the others
    Guards against moves that cost a connection and gain nothing.
    Given 6 engines with 8 slots, of which 4 are in use
    When engine 0 takes 1.5 times as long for an event
    Then 0 of its items are moved, those with the most events

  Scenario: Only the slow engine has free slots
    Guards against a moved item that comes back to the slow engine, since that
    one alone is never full.
    Given 6 engines with 8 slots, all full
    When engine 0 takes 2.8 times as long for an event
    And 2 of its items are gone
    Then a waiting item is not sent to any engine
    When 1 item of engine 3 is gone
    Then a waiting item is sent to engine 3

  Scenario: Only slow engines are left
    Guards against items that wait for engines that do not exist.
    Given 1 engines with 8 slots, of which 4 are in use
    When engine 0 takes 2.8 times as long for an event
    Then a waiting item is sent to engine 0
