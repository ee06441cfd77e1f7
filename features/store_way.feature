Feature: A daemon notices soon that the store does not answer it
  The way to the store on virtual time.

  Scenario: The store answers nothing to one daemon
    Guards against an owner of jobs whose commit waits for a silent store
    until other daemons have taken its jobs over.
    Given a way to a store that answers within 0.01 s
    When 3 writes are sent one after another
    And the store answers nothing any more
    And a write is sent
    Then its answer is lost after 0.4 s
    When another write is sent
    Then it goes to a peer at once

  Scenario: One call is slow while others are answered
    Guards against calls that are given up although the store works.
    Given a way to a store that answers within 0.01 s
    When a write takes 1.2 s while others are answered every 0.1 s
    Then it is answered after 1.2 s

  Scenario: The whole store is slow
    Guards against calls that are sent twice to a store that is busy.
    Given a way to a store that answers within 0.01 s
    When it becomes slower step by step, up to 1 s for each write
    Then every write is answered

  Scenario: The whole store is slow from one moment to the next
    Guards against a slow store that counts as silent for ever.
    Given a way to a store that answers within 0.01 s
    When it becomes slow at once, with 0.9 s for each write
    Then writes are answered again after at most 2 that are lost

  Scenario: A watch waits for changes
    Guards against a watch that counts as silence.
    Given a way to a store that answers within 0.01 s
    When a watch of 0.7 s is sent and no change comes
    Then it is answered after 0.7 s
