Feature: A daemon soon detects that the store does not answer it
  The client of the store on virtual time. When the store does not answer one
  daemon, that daemon sends its calls through a peer.

  Scenario: Calls go to a peer after the store has stopped answering
    Guards against an owner of jobs whose commit waits for the store until
    other daemons have taken its jobs over.
    Given a store client whose store answers within 0.01 s
    When 3 writes are sent one after another
    And the store stops answering
    And a write is sent
    Then its response is given up as lost after 0.4 s
    When another write is sent
    Then it is passed to a peer at once

  Scenario: A slow call is not given up while others are answered
    Guards against calls that are given up although the store works.
    Given a store client whose store answers within 0.01 s
    When a write takes 1.2 s while others are answered every 0.1 s
    Then it is answered after 1.2 s

  Scenario: A repeatable call is answered soon after its partition returns
    Guards against a commit that hangs for its whole timeout after the store
    serves its partition again: the pattern of a store that is partly away.
    Given a store client whose store answers within 0.01 s
    When a repeatable write waits for a partition that is silent for 1 s
    Then it is answered at most 0.65 s after that

  Scenario: A call that may run once is not sent again
    Guards against a write without conditions that takes effect twice.
    Given a store client whose store answers within 0.01 s
    When another write waits for a partition that is silent for 1 s
    Then it was sent once

  Scenario: No write fails when the store becomes slow in steps
    Guards against calls that are sent twice to a store that is busy.
    Given a store client whose store answers within 0.01 s
    When the store becomes slower in steps, up to 1 s for each write
    Then every write is answered

  Scenario: Few writes fail when the store becomes slow at once
    Guards against a slow store that counts as unavailable without end.
    Given a store client whose store answers within 0.01 s
    When the store becomes slow at once, with 0.9 s for each write
    Then at most 2 writes fail before writes are answered again

  Scenario: A watch that waits for changes is not given up
    Guards against a waiting watch that counts as a missing response.
    Given a store client whose store answers within 0.01 s
    When a watch that waits for 0.7 s is sent and no change occurs
    Then it is answered after 0.7 s
