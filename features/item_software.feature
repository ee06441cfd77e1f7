Feature: The text of an item goes on only at the software version that began it
  Engines of two software versions serve side by side, and do not check who
  resumes a text. Daemons on virtual time, with engines in memory.

  Scenario: Items that break off go on at engines of their software version
    Guards against a text that holds events of two software versions.
    Given a platform with 4 engines and daemons a, b and c
    And engines 2 and 3 run software v2
    And each item of job j1 breaks off after 3 events
    When daemon a accepts job j1 with 32 items
    And 8 s go by
    Then every daemon lists 32 completed results of job j1 in the same order
    And some items were resumed after event 3
    And no text of job j1 has events of two software versions

  Scenario: A text begins anew if no engine of its software version is left
    Guards against an item that waits for an engine that never comes.
    Given a platform with 4 engines and daemons a, b and c
    And engines 1, 2 and 3 run software v2
    And each item of job j1 breaks off after 3 events
    And engine 0 is gone after 0.3 s
    When daemon a accepts job j1 with 32 items
    And 8 s go by
    Then every daemon lists 32 completed results of job j1 in the same order
    And no text of job j1 has events of two software versions

  Scenario: The next owner of a job goes on at the software version of a checkpoint
    Guards against a checkpoint that does not tell which version made it.
    Given a platform with 4 engines and daemons a, b and c
    And engines 2 and 3 run software v2
    And engines make 40 events for each item
    When daemon a accepts job j1 with 32 items
    And 1.2 s go by
    And the owner of job j1 is killed
    And 9 s go by
    Then every daemon lists 32 completed results of job j1 in the same order
    And some items were resumed from a checkpoint
    And no text of job j1 has events of two software versions

  Scenario: Items on a slow engine are moved to engines of their software version
    Guards against moves that mix versions.
    Given a platform with 4 engines and daemons a, b and c
    And engines 2 and 3 run software v2
    And engines make 40 events for each item
    And engine 0 becomes 6 times slower after 0.8 s
    When daemon a accepts job j1 with 24 items
    And 12 s go by
    Then every daemon lists 24 completed results of job j1 in the same order
    And some items were resumed at engine 1
    And no text of job j1 has events of two software versions

  Scenario: A long text waits for its only engine, but no longer than it took to make
    Guards against texts that are discarded as a connection broke.
    Given a platform with 4 engines and daemons a, b and c
    And engines 1, 2 and 3 run software v2
    And engines make 60 events for each item
    And each item of job j1 breaks off after 50 events
    When daemon a accepts job j1 with 16 items
    And 12 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And engine 0 resumed each item that it began after event 50
    And no text of job j1 has events of two software versions
