Feature: Batch jobs end whole, once and at fixed positions
  Daemons over a store, engines and services in memory, on virtual time.

  Scenario: A job is run to its end and read at any daemon
    Guards against results that differ between daemons.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And 3 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: The same submission at two daemons is one job
    Guards against a job that is run twice because its answer was lost.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And daemon b accepts job j1 with 16 items
    And 3 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And no item of job j1 ran twice

  Scenario: The owner dies and another daemon goes on
    Guards against listed results that change and items that are lost.
    Given a platform with 2 engines and daemons a, b and c
    When daemon a accepts job j1 with 64 items
    And 0.7 s go by
    Then daemon b lists some results of job j1
    When daemon a is killed
    And 8 s go by
    Then the results that were read stand where they stood
    And every daemon lists 64 completed results of job j1 in the same order

  Scenario: Two callers read the same job at one daemon
    Guards against results that are cached twice, which moves all later ones.
    Given a platform with 2 engines and daemons a, b and c
    When daemon a accepts job j1 with 64 items
    And 0.7 s go by
    Then daemon b lists some results of job j1
    When 0.5 s go by
    And 3 callers read job j1 at daemon b at the same time
    And 4 s go by
    Then the results that were read stand where they stood
    And every daemon lists 64 completed results of job j1 in the same order

  Scenario: The owner is stopped as planned and hands its job over
    Guards against a job that waits for a lease although its owner left.
    Given a platform with 2 engines and daemons a, b and c
    When daemon a accepts job j1 with 64 items
    And 0.5 s go by
    And daemon a is asked to stop
    And 3.5 s go by
    Then every daemon lists 64 completed results of job j1 in the same order

  Scenario: The answer of a commit is lost and it is applied late
    Guards against a result at two positions.
    Given a platform with 4 engines and daemons a, b and c
    And the answers of all commits with results are lost for 3 s and applied after 2 s
    When daemon a accepts job j1 with 16 items
    And 9 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: Two owners write on the same row of a job
    Guards against a former owner that changes what its successor has listed.
    Given a platform with 1 engines and daemons a, b and c
    And job j1 that two daemons take for their own
    When each of them lists another result at position 0
    Then the first result stands and the second owner is told

  Scenario: Commits of a former owner are applied after its successor's
    Guards against results that move because a late write acts.
    Given a platform with 4 engines and daemons a, b and c
    And the answers of all commits with results are lost for 4 s and applied after 5 s
    When daemon a accepts job j1 with 16 items
    And 9 s go by
    Then daemon b lists some results of job j1
    When 6 s go by
    Then the results that were read stand where they stood
    And every daemon lists 16 completed results of job j1 in the same order

  Scenario: The store is away while items are running
    Guards against items that are given up or listed before they are kept.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And 0.1 s go by
    And the store is away for 5 s
    And 3 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: A daemon that cannot read the store never says that a job is unknown
    Guards against a 404 for a job that exists.
    Given a platform with 4 engines and daemons a, b and c
    And the store is away
    When daemon b is asked for job j9
    Then daemon b is not sure about job j9

  Scenario: A text that breaks off goes on at another engine
    Guards against events that are missing or stand twice.
    Given a platform with 4 engines and daemons a, b and c
    And item 3 of job j1 breaks off after 2 events
    When daemon a accepts job j1 with 16 items
    And 4 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And item 3 of job j1 was resumed after event 2

  Scenario: An engine goes dark and its items run elsewhere
    Guards against a step that waits for a dead engine.
    Given a platform with 3 engines and daemons a, b and c
    And engine 0 is dark
    When daemon a accepts job j1 with 16 items
    And 6 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: Items are errored only for a reason that the users accept
    Guards against results that are errored too early and items that are
    sent for ever.
    Given a platform with 4 engines and daemons a, b and c
    And item 2 of job j1 is rejected by every engine
    And item 5 of job j1 fails 3 times
    And item 6 of job j1 fails 2 times
    When daemon a accepts job j1 with 16 items
    And 6 s go by
    Then items 2 and 5 of job j1 are errored and the others completed

  Scenario: An engine fails every item and still announces itself as ready
    Guards against a faulty engine that is always free and so draws items
    until they are errored.
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

  Scenario: A reward call that fails at first is sent again
    Guards against an item that is errored although its reward could be had.
    Given a platform with 4 engines and daemons a, b and c
    And the reward call of item 4 of job j1 fails 2 times
    When daemon a accepts job j1 with 16 items
    And 4 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: The trainer ends a job and its items stop
    Guards against engines that work for a job that has ended.
    Given a platform with 1 engines and daemons a, b and c
    And every text has 100 events
    When daemon a accepts job j1 with 64 items
    And 0.4 s go by
    And daemon b ends job j1
    And 1.5 s go by
    Then no engine is running anything

  Scenario: No text is older than its job allows
    Guards against samples of weights below the oldest version allowed.
    Given a platform with 4 engines and daemons a, b and c
    When version 2 is named
    And daemon a accepts job j1 with 32 items from version 2 on
    And 6 s go by with announcements
    Then every result of job j1 was made by version 2

  Scenario: The jobs of a service are run by one daemon
    Guards against daemons that fill the same engines without seeing each
    other, each over connections of its own.
    Given a platform with 4 engines and daemons a, b and c
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And daemon b accepts job j2 with 16 items
    And daemon c accepts job j3 with 16 items
    And 0.5 s go by
    Then one daemon owns the jobs j1, j2 and j3

  Scenario: The daemon that should run a job has just died
    Guards against a job that waits for a lease before its first item runs.
    Given a platform with 4 engines and daemons a, b and c
    When 2 s go by
    And the home of the jobs is killed
    And another daemon accepts job j1 with 16 items
    And 3 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And no item of job j1 ran twice

  Scenario: Long texts outlive their owner
    Guards against long items that start anew each time their owner is lost.
    Given a platform with 4 engines and daemons a, b and c
    And every text has 100 events
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And 3 s go by
    And the home of the jobs is killed
    And 5 s go by
    Then the job is whole at every daemon that lives: j1 with 16 items
    And every item of job j1 was resumed after 50 events or more

  Scenario: A job is taken over while the store is slow
    Guards against two runs of one job at one daemon, which take it from each
    other again and again.
    Given a platform with 4 engines and daemons a, b and c
    When 2 s go by
    And the home of the jobs is killed
    And the store answers 20 times slower
    And another daemon accepts job j1 with 16 items
    And 8 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    And no item of job j1 ran twice

  Scenario: An engine turns slow while it runs long items
    Guards against a step that waits for the last item of a slow engine.
    Given a platform with 3 engines and daemons a, b and c
    And every text has 60 events
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And 0.5 s go by
    And engine 1 works 10 times slower
    And 6 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

  Scenario: An engine that was slow is used again
    Guards against an engine that is left out for ever for a pace of the past.
    Given a platform with 3 engines and daemons a, b and c
    And every text has 60 events
    When 2 s go by
    And daemon a accepts job j1 with 24 items
    And 0.5 s go by
    And engine 1 works 10 times slower
    And 4 s go by
    And engine 1 works 1 times slower
    And 4 s go by
    And daemon a accepts job j2 with 24 items
    And 4 s go by
    Then every daemon lists 24 completed results of job j2 in the same order
    And engine 1 has run items of job j2

  Scenario: Engines load while they run items
    Guards against items that stand still for each load of their engine, and
    items that are refused by engines that are known to load.
    Given a platform with 4 engines and daemons a, b and c
    And every text has 60 events
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And 0.5 s go by
    And version 2 is named
    And 4 s go by with announcements
    Then every daemon lists 16 completed results of job j1 in the same order
    And no engine refused an item

  Scenario: The home of several jobs dies
    Guards against jobs that are scattered over daemons, each of which needs
    connections of its own to the same engines.
    Given a platform with 4 engines and daemons a, b, c, d, e, f, g and h
    And every text has 100 events
    When 2 s go by
    And daemon a accepts job j1 with 16 items
    And daemon b accepts job j2 with 16 items
    And daemon c accepts job j3 with 16 items
    And 1 s go by
    And the home of the jobs is killed
    And 3 s go by
    Then the jobs j1, j2 and j3 have one owner, which lives

  Scenario: Jobs come right after their home has died
    Guards against jobs that start late, each at the daemon that accepted it,
    while nobody gives the orders to the engines.
    Given a platform with 4 engines and daemons a, b, c, d, e, f, g and h
    And every text has 100 events
    When 2 s go by
    And the home of the jobs is killed
    And 0.4 s go by
    And 3 living daemons accept the jobs j1, j2 and j3 with 16 items
    And 1.4 s go by
    Then the jobs j1, j2 and j3 have one owner, which lives
    When 2 s go by
    And 3 living daemons accept the jobs j4, j5 and j6 with 16 items
    And 0.2 s go by
    Then the jobs j4, j5 and j6 have one owner, which lives

  Scenario: Jobs that nobody may read any more leave the store
    Guards against a store that fills up until it takes no job.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And daemon b accepts job j2 with 16 items
    And 3 s go by
    And daemon c ends job j1
    And 100 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    When 100 s go by
    Then nothing of job j1 is in the store
    And every daemon lists 16 completed results of job j2 in the same order

  Scenario: The store goes away while a job is being removed
    Guards against rows that nobody removes any more.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts job j1 with 16 items
    And 3 s go by
    And daemon c ends job j1
    And 140 s go by
    And the rows of jobs cannot be removed for 40 s
    Then nothing but the row of job j1 is in the store
    When 10 s go by
    Then nothing of job j1 is in the store
