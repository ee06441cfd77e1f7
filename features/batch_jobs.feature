Feature: Batch jobs complete with each result once and at a fixed position
  Daemons on virtual time, with a store, engines and services in memory. The
  scenarios guard against results that are lost, listed twice or moved, and
  against jobs that stall, when daemons, engines or the store fail.

  Scenario: Every daemon lists the same results of a completed job
    Guards against results that differ between daemons.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And 3 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: A job that is submitted at two daemons runs once
    Guards against a job that runs twice because its caller got no response and
    sent it again to another daemon.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And daemon b accepts job j1 with 16 items
    And 3 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And no item of job j1 ran twice

  Scenario: Another daemon completes the job of an owner that was killed
    Guards against listed results that change and items that are lost.
    Given a platform with 2 engines and daemons a, b and c
    When daemon a accepts job j1 with 64 items
    And 0.7 s go by
    Then daemon b lists some results of job j1
    When daemon a is killed
    And 8 s go by
    Then the results that were read are still at the same positions
    And every daemon lists 64 completed results of job j1 in the same order

  Scenario: Concurrent reads of a job at one daemon add no result twice
    Guards against results that are cached twice, which shifts all later
    positions.
    Given a platform with 2 engines and daemons a, b and c
    When daemon a accepts job j1 with 64 items
    And 0.7 s go by
    Then daemon b lists some results of job j1
    When 0.5 s go by
    And 3 callers read job j1 at daemon b at the same time
    And 4 s go by
    Then the results that were read are still at the same positions
    And every daemon lists 64 completed results of job j1 in the same order

  Scenario: An owner that is stopped as planned hands its job over
    Guards against a job that waits until the lease of its owner expires,
    although the owner has handed it over.
    Given a platform with 2 engines and daemons a, b and c
    When daemon a accepts job j1 with 64 items
    And 0.5 s go by
    And daemon a is asked to stop
    And 3.5 s go by
    Then every daemon lists 64 completed results of job j1 in the same order

  Scenario: An owner that is stopped during a store outage goes on until it ends
    Guards against items that are ended while no other daemon can take their
    job over, so that an outage during a rolling restart stops all steps.
    Given a platform with 2 engines and daemons a, b and c
    When daemon a accepts job j1 with 64 items
    And 0.5 s go by
    And the owner of job j1 is asked to stop and the store is unavailable for 3 s
    Then daemon b lists at least 32 results of job j1
    When 3.5 s go by
    Then every daemon lists 64 completed results of job j1 in the same order

  Scenario: A commit whose response is lost is applied late
    Guards against a result that is committed again and so is listed at two
    positions.
    Given a platform with 4 engines and daemons a, b and c
    And commits of results get no response for 3 s and are applied after 2 s
    When daemon a accepts job j1 with 16 items
    And 9 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: The second of two owners that commit to the same job version fails
    Guards against a former owner that replaces results that its successor has
    committed.
    Given a platform with 1 engines and daemons a, b and c
    And job j1 of which two daemons consider themselves the owner
    When each of them commits a different result at position 0
    Then the first result is kept and the second commit is a conflict

  Scenario: Late commits of a former owner change no listed result
    Guards against results that move because a late write takes effect.
    Given a platform with 4 engines and daemons a, b and c
    And commits of results get no response for 4 s and are applied after 5 s
    When daemon a accepts job j1 with 16 items
    And 9 s go by
    Then daemon b lists some results of job j1
    When 6 s go by
    Then the results that were read are still at the same positions
    And every daemon lists 16 completed results of job j1 in the same order

  Scenario: Running items are kept during a store outage
    Guards against items that are given up, and results that are listed before
    they are stored.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And 0.1 s go by
    And the store is unavailable for 5 s
    And 3 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: A daemon that cannot read the store reports no job as unknown
    Guards against a 404 for a job that exists.
    Given a platform with 4 engines and daemons a, b and c
    And the store is unavailable
    When daemon b is asked for job j9
    Then daemon b answers that it cannot tell whether job j9 exists

  Scenario: A generation that breaks off is resumed at another engine
    Guards against events that are missing or repeated.
    Given a platform with 4 engines and daemons a, b and c
    And the generation of item 3 of job j1 breaks off after 2 events
    When daemon a accepts job j1 with 16 items
    And 4 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And item 3 of job j1 was resumed after event 2

  Scenario: Items of an engine that does not respond run at other engines
    Guards against a step that waits for a dead engine.
    Given a platform with 3 engines and daemons a, b and c
    And engine 0 does not respond
    When daemon a accepts job j1 with 16 items
    And 6 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: Items are errored only when rejected or after the third failure
    Guards against results that are errored too early and items that are
    retried without end.
    Given a platform with 4 engines and daemons a, b and c
    And item 2 of job j1 is rejected by every engine
    And item 5 of job j1 fails 3 times
    And item 6 of job j1 fails 2 times
    When daemon a accepts job j1 with 16 items
    And 6 s go by
    Then items 2 and 5 of job j1 are errored and the others completed

  Scenario: An engine that fails every item but reports itself ready is avoided
    Guards against a faulty engine that always has free slots, and so gets
    items until they are errored.
    Given a platform with 6 engines and daemons a, b and c
    And engine 0 fails every item
    When daemon a accepts job j1 with 64 items
    And 0.5 s go by
    And daemon b accepts job j2 with 16 items
    And 0.5 s go by
    And daemon b accepts job j3 with 16 items
    And 5 s go by
    Then every daemon lists 64 completed results of job j1 in the same order
    And every daemon lists 16 completed results of job j3 in the same order
    And engine 0 was sent no item twice and none of job j3

  Scenario: A reward call that fails is retried
    Guards against an item that is errored although a retry would get its
    reward.
    Given a platform with 4 engines and daemons a, b and c
    And the reward call of item 4 of job j1 fails 2 times
    When daemon a accepts job j1 with 16 items
    And 4 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario Outline: An error of a connection is not the end of its item
    Guards against an error of the operating system that ends an item, such as
    the one that has the class of an elapsed deadline.
    Given a platform with 4 engines and daemons a, b and c
    And the connection of item 3 of job j1 ends 2 times with <error> after 2 events
    And the connection of the reward call of item 4 of job j1 ends 5 times with <error>
    When daemon a accepts job j1 with 16 items
    And 6 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And item 3 of job j1 was resumed after event 2

    Examples:
      | error        |
      | ETIMEDOUT    |
      | ECONNRESET   |
      | ECONNABORTED |
      | EMFILE       |

  Scenario: Generations are stopped when the trainer ends their job
    Guards against engines that work for a job that has ended.
    Given a platform with 1 engines and daemons a, b and c
    And every generation has 100 events
    When daemon a accepts job j1 with 64 items
    And 0.4 s go by
    And daemon b ends job j1
    And 1.5 s go by
    Then no engine is running a generation

  Scenario: Items run only on versions that their job allows
    Guards against samples generated with weights older than the job allows.
    Given a platform with 4 engines and daemons a, b and c
    When version 2 is named
    And daemon a accepts job j1 with 32 items for version 2 or newer
    And 6 s go by while engines announce their versions
    Then every result of job j1 was made by version 2

  Scenario: One daemon owns all jobs of a service
    Guards against daemons that assign items to the same engines without
    knowing of each other's, and each need connections of their own.
    Given a platform with 4 engines and daemons a, b and c
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And daemon b accepts job j2 with 16 items
    And daemon c accepts job j3 with 16 items
    And 0.5 s go by
    Then one daemon owns the jobs j1, j2 and j3

  Scenario: A job is run although its default owner was just killed
    Guards against a job that waits for a lease to expire before its first item
    runs.
    Given a platform with 4 engines and daemons a, b and c
    When 2 s go by
    And the default owner of the jobs is killed
    And another daemon accepts job j1 with 16 items
    And 3 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And no item of job j1 ran twice

  Scenario: Long generations are resumed after their owner was killed
    Guards against long items that start from the first event each time their
    owner is lost.
    Given a platform with 4 engines and daemons a, b and c
    And every generation has 100 events
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And 3 s go by
    And the default owner of the jobs is killed
    And 5 s go by
    Then every running daemon lists the complete job j1 with 16 items
    And every item of job j1 was resumed after 50 events or more

  Scenario: A job is taken over once while the store is slow
    Guards against two runs of one job at one daemon that take it over from
    each other repeatedly.
    Given a platform with 4 engines and daemons a, b and c
    When 2 s go by
    And the default owner of the jobs is killed
    And the store answers 20 times slower
    And another daemon accepts job j1 with 16 items
    And 8 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And no item of job j1 ran twice

  Scenario: Long items leave an engine that becomes slow
    Guards against a step that waits for the last item of a slow engine.
    Given a platform with 3 engines and daemons a, b and c
    And every generation has 60 events
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And 0.5 s go by
    And engine 1 needs 10 times its usual time per event
    And 6 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: An engine that is no longer slow is used again
    Guards against an engine that stays excluded because of its earlier speed.
    Given a platform with 3 engines and daemons a, b and c
    And every generation has 60 events
    When 2 s go by
    And daemon a accepts job j1 with 24 items
    And 0.5 s go by
    And engine 1 needs 10 times its usual time per event
    And 4 s go by
    And engine 1 needs 1 times its usual time per event
    And 4 s go by
    And daemon a accepts job j2 with 24 items
    And 4 s go by
    Then every daemon lists 24 completed results of job j2 in the same order
    And engine 1 has run items of job j2

  Scenario: Items complete while their engines load a version
    Guards against items that wait for each load of their engine, and items
    that are sent to engines that are known to be loading and refuse them.
    Given a platform with 4 engines and daemons a, b and c
    And every generation has 60 events
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And 0.5 s go by
    And version 2 is named
    And 4 s go by while engines announce their versions
    Then every daemon lists 16 completed results of job j1 in the same order
    And no engine refused an item

  Scenario: One daemon takes over all jobs of a default owner that was killed
    Guards against jobs that are spread over several daemons, each of which
    needs connections of its own to the same engines.
    Given a platform with 4 engines and daemons a, b, c, d, e, f, g and h
    And every generation has 100 events
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And daemon b accepts job j2 with 16 items
    And daemon c accepts job j3 with 16 items
    And 1 s go by
    And the default owner of the jobs is killed
    And 3 s go by
    Then one running daemon owns the jobs j1, j2 and j3

  Scenario: Jobs submitted after their default owner was killed get one owner
    Guards against jobs that start late, each at the daemon that accepted it,
    while no daemon holds the orders lease.
    Given a platform with 4 engines and daemons a, b, c, d, e, f, g and h
    And every generation has 100 events
    When 2 s go by
    And the default owner of the jobs is killed
    And 0.4 s go by
    And 3 running daemons accept the jobs j1, j2 and j3 with 16 items
    And 1.4 s go by
    Then one running daemon owns the jobs j1, j2 and j3
    When 2 s go by
    And 3 running daemons accept the jobs j4, j5 and j6 with 16 items
    And 0.2 s go by
    Then one running daemon owns the jobs j4, j5 and j6

  Scenario: Jobs are removed from the store when they can no longer be read
    Guards against a store that fills up until it accepts no job.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And daemon b accepts job j2 with 16 items
    And 3 s go by
    And daemon c ends job j1
    And 100 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    When 100 s go by
    Then no row or object of job j1 is in the store
    And every daemon lists 16 completed results of job j2 in the same order

  Scenario: The removal of jobs keeps up with 16 trainers
    Guards against jobs that pile up in the store and in all hosts because fewer
    are removed than submitted.
    Given a sweeper of jobs on virtual time
    When 4 jobs per second expire for 120 s
    Then at most 40 expired jobs are left

  Scenario: The removal of a job continues after writes to the store failed
    Guards against rows that are never removed because their removal was
    interrupted.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And 3 s go by
    And daemon c ends job j1
    And 140 s go by
    And the rows of jobs cannot be removed for 40 s
    Then only the job row and the end row of job j1 are in the store
    When 10 s go by
    Then no row or object of job j1 is in the store

  Scenario: An item that fails at each run outlives several owners
    Guards against failures that are forgotten with their owner, so that an
    item reaches servers more than three times as often as it may.
    Given a platform with 4 engines and daemons a, b and c
    And item 0 of job j1 fails at each run
    When daemon a accepts job j1 with 16 items
    And the owner of job j1 is killed 4 times, 0.05 s after it started it
    And 20 s go by
    Then item 0 of job j1 reached servers at most 9 times
    And daemon a lists 16 results of job j1
