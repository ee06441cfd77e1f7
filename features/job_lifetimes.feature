Feature: Lifetimes of batch jobs do not depend on the clocks of the hosts
  Daemons on virtual time. Each daemon and the store have a steady clock with an
  origin of their own, as processes on different machines do.

  Scenario Outline: A daemon accepts a job before its first read of the jobs
    Guards against items that are errored, and results that are removed, too
    soon because a daemon that has just started takes its own clock for the
    store's.
    Given a platform with 4 engines and daemons a, b and c
    And the clock of the store is <ahead> s ahead of the clocks of the daemons
    When daemon a starts again and accepts job j1 before it has read the jobs
    And 4 s go by
    Then every daemon lists 16 completed results of job j1 in the same order
    When daemon b ends job j1
    And 30 s go by
    Then every daemon lists 16 completed results of job j1 in the same order

    Examples:
      | ahead   |
      | 100000  |
      | -100000 |

  Scenario Outline: The store starts again with another clock
    Guards against items that are errored, and results that are removed, too
    soon because the store's clock has another origin than at the submission.
    Given a platform with 2 engines and daemons a, b and c
    When daemon a accepts job j1 with 64 items
    And 0.5 s go by
    And the clock of the store jumps by <jump> s
    And daemon a is killed
    And 8 s go by
    Then every daemon lists 64 completed results of job j1 in the same order
    When daemon b ends job j1
    And 30 s go by
    Then every daemon lists 64 completed results of job j1 in the same order

    Examples:
      | jump    |
      | 100000  |
      | -100000 |

  Scenario: Items of a job whose owners change are given up after its lifetime
    Guards against a lifetime that starts again with each owner, so that a job
    that can never run stays in the engines' queue.
    Given a platform with 2 engines and daemons a, b and c
    And engine 0 does not respond
    And engine 1 does not respond
    When daemon a accepts job j1 with 16 items
    And 20 s go by
    And daemon a is killed
    And 15 s go by
    Then daemon b lists no result of job j1
    When 12 s go by
    Then daemon b lists 16 errored results of job j1

  Scenario: A job that every daemon has lost is run by the next ones in time
    Guards against a lifetime that is counted from a clock that did not survive
    the loss of power on all hosts.
    Given a platform with 2 engines and daemons a, b and c
    When daemon a accepts job j1 with 64 items
    And 0.5 s go by
    And all daemons lose power and start again with other clocks after 3 s
    And 12 s go by
    Then every daemon lists 64 completed results of job j1 in the same order

  Scenario: Daemons that do not know the lifetime of a job give up no item
    Guards against items that are errored after a default lifetime by an owner
    that has not read the desired state yet.
    Given a platform with 2 engines and daemons a, b and c
    And items of jobs have a lifetime of 60 s
    And engine 0 does not respond
    And engine 1 does not respond
    When daemon a accepts job j1 with 16 items
    And the store does not answer for the operator's table
    And all daemons lose power and start again with other clocks after 3 s
    And 45 s go by
    Then daemon b lists no result of job j1
    When the store answers for the operator's table again
    And 20 s go by
    Then daemon b lists 16 errored results of job j1

  Scenario: Rows of jobs are read across versions of the program
    Guards against jobs that are given up or lost while daemons of two versions
    run side by side.
    When a row of a job that an earlier version wrote is read
    Then the age of that job is 0 s
    When an earlier version reads a row of a job of this version
    Then it finds a submission that lies in the future

  Scenario: An owner with an older desired state gives up no item too soon
    Guards against a default lifetime at an owner that does not know the route
    of a job yet.
    Given a platform with 2 engines and daemons a, b and c
    And items of jobs have a lifetime of 60 s
    And engine 0 does not respond
    And engine 1 does not respond
    When daemon a accepts job j1 with 16 items
    And the route of jobs is removed
    And daemon a is killed
    And 50 s go by
    Then daemon b lists no result of job j1
