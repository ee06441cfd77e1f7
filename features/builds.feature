Feature: Builds of before and after serve side by side
  `features/fixtures/formats.json` holds what 53f4f11 writes, and how it reads
  what this build writes; `tools/record_formats.py` recorded it with the code
  of 53f4f11.

  Scenario: Rows, objects and messages of 53f4f11 are read
    Guards against a field without a default, or with one that means something
    else than 53f4f11 did, which hides hosts or jobs during an upgrade.
    Then each recorded format of 53f4f11 decodes to the same sample

  Scenario: 53f4f11 reads what this build writes
    Guards against a changed or inserted field. A changed format fails here
    until it is recorded again with 53f4f11.
    Then this build writes the recorded bytes, which 53f4f11 reads
    And only a call for a workspace was rejected by 53f4f11

  Scenario: Fields of a later build are ignored
    Guards against a row of a newer build that hides a host or a job.
    Then each row and message with fields of a later build is still read

  Scenario Outline: Rows that cannot be read are skipped with a log line
    Guards against a row of another writer that ends the watch of a table, as
    deeply nested ones did, or hides the rows beside it.
    Given a row that is <content> beside a valid one in each table
    Then the valid rows are read and each other one is logged

    Examples:
      | content                     |
      | empty                       |
      | 64 KB of nested arrays      |
      | 64 KB of undefined bytes    |
      | of an unknown kind          |

  Scenario Outline: An unreadable lease gets no lower fence
    Guards against a second holder beside a live one, and against a fence that
    starts at 1 again.
    Given a lease whose row was written <count> times and is now <content>
    When a daemon tries to take it for 10 s
    Then it takes the lease after the lease time with a fence above <count>

    Examples:
      | count | content                |
      | 7     | empty                  |
      | 7     | 64 KB of nested arrays |

  Scenario Outline: An unreadable row of a duty does not block it
    Guards against a service or window on which the holder fails forever.
    Given a row that is <content> in place of a size and of a report
    Then the size is replaced and the later windows are reported

    Examples:
      | content                |
      | empty                  |
      | 64 KB of nested arrays |

  Scenario: Unknown and malformed peer messages are refused with a log line
    Guards against an exception in the daemon, and against a message that the
    sender takes for done.
    Then a peer message with an unknown path is answered 404 and logged
    And a store call with an unknown method is answered 503 and logged
    And malformed messages to each path are answered 400 and logged
