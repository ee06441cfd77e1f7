Feature: The requests of each workspace are reported once for each window
  Daemons on virtual time, with a store and the platform's interface in memory.
  Workspaces w0, w1 and w2 send a request each 0.2 s to random daemons.

  Scenario: Each window is reported once, exactly and in time
    Guards against windows that are missing, wrong or late, and against requests that
    are counted in another window than they ran in.
    Given 4 daemons that report usage, whose clocks are 0, -3, 2.5 and 0 s wrong
    When 32 s go by with requests
    Then the reports of all windows are exact, single and in time

  Scenario Outline: One loss of the holder changes no report
    Guards against a window that is counted again, sent with other counts or not
    sent, when its holder is lost at any point.
    Given 5 daemons that report usage
    When 12 s go by with requests
    And the holder of the usage <fault> just <moment> a window
    And 16 s go by with requests
    Then the reports of all windows are exact, single and in time
    And no call came too early after that of another holder

    Examples:
      | fault                                  | moment              |
      | is killed                              | before it fixes     |
      | is killed                              | after it fixed      |
      | is killed                              | after it sent       |
      | is frozen for 4 s                      | before it fixes     |
      | is frozen for 4 s                      | after it fixed      |
      | gets no answers                        | before it fixes     |
      | is cut from the interface              | before it fixes     |
      | has its calls arrive without an answer | before it fixes     |

  Scenario Outline: What befalls the store or the interface delays reports only
    Guards against reports that are lost or that differ after a fault.
    Given 4 daemons that report usage
    When 12 s go by with requests
    And <fault> for 6 s with requests
    And 26 s go by with requests
    Then the reports of all windows are exact and single
    And no call came too early after that of another holder

    Examples:
      | fault                       |
      | the store is away           |
      | the store is 100 times slower |
      | answers of the store are lost |
      | the interface refuses calls |
      | the interface throttles     |
      | the clock of the store jumps |
      | the time of day of one daemon steps |

  Scenario: What daemons could not write in an outage is reported
    Guards against a holder that fixes windows before the other daemons have written
    the counts that they held back.
    Given 4 daemons that report usage
    When 11.6 s go by with requests
    And the store is away for 7 s with requests
    And 14 s go by with requests
    Then the reports of all windows are exact and single

  Scenario: Ten minutes without the store lose no window
    Guards against windows that are left out as too old, against counts that a process
    drops before they are reported, and against a sweep that removes the counts of a
    lost process that no report has yet.
    Given 4 daemons that report usage
    When 11 s go by with requests
    And a daemon without the duty is killed 0.6 s after its last request
    And the store is away for 600 s with requests
    And 40 s go by with requests
    Then the reports of all windows are exact and single
    And they arrived in the order of their windows

  Scenario: An outage before the first report loses no window
    Guards against a first holder that begins at the present, as no counts of the
    windows before are written yet.
    Given 4 daemons that report usage
    When the store is away for 20 s with requests
    And 30 s go by with requests
    Then the reports of all windows are exact and single

  Scenario: Ten minutes without the interface lose no window
    Guards against reports that are not fixed while none can be sent, and against
    fixed ones that are lost with their holder.
    Given 4 daemons that report usage
    When 12 s go by with requests
    And the interface refuses calls for 600 s with requests
    Then the reports of all windows that are due are fixed
    When all daemons are killed and start again after 2 s
    And 40 s go by
    Then the reports of all windows are exact and single
    And they arrived in the order of their windows

  Scenario: A window that was sent and removed is not fixed again
    Guards against a holder that goes on after a long freeze, takes the duty again and
    sends other counts of a window whose row is gone.
    Given a holder that has read the progress, and another that sent window 7
    When the first holder fixes window 7 with other counts
    Then no row of window 7 exists, and window 8 can be fixed

  Scenario: A daemon that starts in an outage awaits the counts of the others
    Guards against a new holder that fixes windows before hosts have written what they
    held back.
    Given a store whose calls of a daemon are timed
    When the first call of the daemon is answered after 7 s
    Then the daemon awaits what other hosts held back

  Scenario: Windows of a long stop are left out, counts are not
    Guards against hours of empty reports that delay those that matter, and against
    the loss of what was counted before the stop.
    Given 4 daemons that report usage
    When 12 s go by with requests
    And all daemons are killed and start again after 7200 s
    And 60 s go by
    Then the reports of all windows with requests are exact and single

  Scenario: A removed workspace keeps its last counts
    Guards against a holder that takes a workspace for unknown because an earlier
    process knew it.
    Given 4 daemons that report usage
    When 12 s go by with requests
    And workspace w2 is removed and all daemons start again
    And 20 s go by
    Then the reports of all windows are exact and single

  Scenario: A report of the far future stops nothing
    Guards against a holder that begins after a window that a wrong clock has named.
    Given 4 daemons that report usage
    When 12 s go by with requests
    And a row of a report of the far future is written
    And all daemons are killed and start again after 2 s
    And 20 s go by
    Then the reports of all windows are exact and single

  Scenario: Counts of a lost daemon and of a stopped one are reported
    Guards against counts that go with their process.
    Given 4 daemons that report usage
    When 10.5 s go by with requests
    And a daemon without the duty is killed 0.6 s after its last request
    And 12 s go by
    Then the reports of all windows are exact, single and in time

  Scenario: After a loss of all hosts the windows go on
    Guards against windows that are reported again after power is back.
    Given 4 daemons that report usage
    When 12 s go by with requests
    And all daemons are killed and start again after 8 s
    And 20 s go by
    Then the reports of all windows are exact and single

  Scenario: Bad counts are ignored and logged once
    Guards against a holder that stops at a bad row, and against reports of
    workspaces that do not exist.
    Given 4 daemons that report usage
    And rows with counts that are negative, of an unknown workspace or not decodable
    When 21 s go by with requests
    Then the reports of all windows are exact, single and in time
    And each bad row was logged once

  Scenario Outline: Loops of the usage go on after an unexpected error
    Guards against counts or reports that end for good at an error that nobody
    foresaw.
    Given 4 daemons that report usage
    When 8 s go by with requests
    And the next write of the holder's <kind> raises an unexpected error
    And 24 s go by with requests
    Then 1 failure was logged with its traceback
    And the reports of all windows are exact, single and in time

    Examples:
      | kind    |
      | counts  |
      | reports |

  Scenario: Old rows are removed
    Guards against tables that grow.
    Given 4 daemons that report usage
    When 20 s go by with requests
    And 90 s go by
    Then no row of counts is left and at most 20 rows of reports

  Scenario: A row with an invalid key does not keep old rows
    Guards against work that ends at the same row again and again.
    Given 4 daemons that report usage
    And a row of a report with an invalid key
    When 20 s go by with requests
    And 90 s go by
    Then no row of counts is left and at most 21 rows of reports

  Scenario: Counts of many workspaces fit into rows
    Guards against a row that the store refuses.
    Given the counts of 10000 workspaces in 3 windows
    When they are written as rows of at most 65536 bytes
    Then the rows hold the same counts and none is larger

  Scenario Outline: Counts that outgrow their row are written in several transactions
    Guards against a transaction with more than 100 entries, which the store rejects, and
    against counts that are missing or double while they move to rows of their own.
    Given a process that has written the counts of 50 workspaces in 24 windows
    When it writes those of 4000 more while <fault>
    Then no transaction was rejected and each state of the rows had the counts once
    And the rows hold the same counts at the end

    Examples:
      | fault                            |
      | the store answers                |
      | a third of its answers are lost  |
      | a third of its writes come late  |
      | a third of its writes never come |

  Scenario: Counts that a process gives up stay in the store
    Guards against a process that removes rows of unreported windows because it has
    too many counts in memory.
    Given a process that has written the counts of 50 workspaces in 24 windows
    When it writes those of 4000 more while the store answers
    And it gives up its oldest counts as 6000 more workspaces come
    Then the rows hold the same counts at the end

  Scenario: Rows that have not changed are not decoded again
    Guards against a holder whose event loop stands still while it reads the counts of
    2,200 hosts every 2 s.
    Given the counts of 2200 hosts that are read once
    When 3 hosts write again and the counts are read again
    Then 3 rows were decoded since, and never more than 128 kB at a time

  Scenario: Large counts are added up in slices
    Guards against an event loop that stands still while the counts of a window are
    added up, as a slice is bounded by processes and not by their workspaces.
    Given the counts of 200 hosts with 2000 workspaces each
    Then no more than 14000 of the 400000 counts are added up at a time

  Scenario: Windows whose reports are fixed are dropped in slices
    Guards against an event loop that stands still when the windows of an outage are
    dropped from the memory of the holder.
    Given the counts of 200 hosts with 120 windows each
    When the windows are dropped
    Then none is left, and other tasks had at least 4 turns

  Scenario: A process drops the counts that were reported
    Guards against rows and memory that grow while all is well.
    Given 4 daemons that report usage
    When 200 s go by with requests
    Then no row of counts has more than 24 windows
    And the reports of all windows are exact and single

  Scenario Outline: A request counts once, from when its first attempt ran
    Guards against usage that is charged for refusals, retries or reward calls.
    Given a platform with 3 services and daemons a, b and c
    When 2 s go by
    And a request of workspace <workspace> <course> at daemon a
    Then <count> requests were counted, as of its first attempt

    Examples:
      | workspace | course                         | count |
      | w0        | is answered                    | 1     |
      | w0        | is answered by a second one    | 1     |
      | w0        | is refused by all              | 0     |
      | w0        | is never answered              | 1     |
      | w0        | is a reward call               | 0     |
      | none      | is answered                    | 0     |
