Feature: Work goes to daemons that stay
  Calls the decisions and the components directly, on virtual time and with a
  store in memory.

  Scenario: Daemons that were stopped and started come first
    Guards against jobs and leases that move with each stop: the pattern of
    daemons that are stopped and started in turn, where each successor was the
    next to be stopped.
    Given daemons a, b, c, d and e, of which c was restarted as planned
    Then c is the substitute owner and the first in the takeover order
    And without c the order is that of the hash

  Scenario: A daemon announces that it was stopped and started as planned
    Guards against a restarted daemon that is not recognised as one.
    Given a platform with 2 engines and daemons a, b and c
    When daemon b stops as planned and starts again
    Then all daemons see that b was restarted as planned
    When daemon c is killed and started again
    Then no daemon sees that c was restarted as planned

  Scenario: The row of a daemon that is gone is removed
    Guards against a daemon that starts, cannot tell how old a row is, and
    gives a job to a host that was replaced long ago.
    Given a platform with 2 engines and daemons a, b and c
    When daemon c is killed
    And 14 s go by in the platform
    Then the store has no row of daemon c, but those of a and b

  Scenario: Jobs of the partitions that answer are known at once
    Guards against a daemon that starts while a part of the store is silent and
    resumes none of its jobs until all of it answers.
    Given a platform with 2 engines and daemons a, b and c
    And a job in each partition that daemon a has accepted
    When one partition of the jobs is silent and daemon d starts
    And 2 s go by in the platform
    Then daemon d knows the jobs of all other partitions
    When the partition answers again
    And 1 s go by in the platform
    Then daemon d knows all jobs

  Scenario Outline: A short outage of the store moves no job
    Guards against daemons that count the time in which they could not read the
    renewals of an owner, and take its jobs over when the store returns.
    Given a platform with 2 engines and daemons a, b and c
    And engines that make 4000 events for each item
    And a job in each partition that daemon a has accepted
    When the store is away for <outage> s
    And 2 s go by in the platform
    Then every job has the owner that it had before

    Examples:
      | outage |
      | 0.9 |
      | 1.2 |
      | 1.4 |
      | 3.0 |

  Scenario: A change during the answer to a watch is part of the next answer
    Guards against a stand-in that skips a change: all daemons of a soak run
    answered 404 for a route that was declared while their watches returned.
    Given a platform with 2 engines and daemons a, b and c
    When a row changes while the store answers a watch that saw no change
    Then the answer has the row or an older version

  Scenario Outline: Daemons stay known after an outage of the store
    Guards against heartbeats that count as missing although nobody could write
    or read them: the timeouts restarted at the last answer before the outage.
    Given a platform with 2 engines and daemons a, b and c
    When the store is away for <outage> s
    Then each daemon knows the others as alive all the time for the next 4 s
    And the store has kept the rows of all daemons

    Examples:
      | outage |
      | 4.0 |
      | 8.5 |
      | 12.0 |
      | 20.0 |
