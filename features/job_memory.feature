Feature: Memory of batch jobs is held from their acceptance to their end
  Daemons in one process with stand-ins in memory, on virtual time.

  Scenario: A large job is stored in parts and all of its items complete
    Guards against a step that is refused as it exceeds one object of the
    store, and against a daemon that holds all of it.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts large job j1 with 600 items of 45000 bytes
    Then no object of the store is larger than 4194304 bytes
    And the owner of job j1 holds less than a third of its bodies
    When 60 s go by
    Then daemon b lists 600 completed results of large job j1

  Scenario: A large job is completed by another owner
    Guards against a takeover that needs more memory than the first owner.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts large job j1 with 600 items of 45000 bytes
    And 2 s go by
    And the owner of large job j1 is killed
    Then 2 s later the new owner of job j1 holds less than a third of its bodies
    When 60 s go by
    Then daemons list 600 completed results of large job j1

  Scenario: The body of an item of a large job is read from its part
    Guards against reads that load whole submissions.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts large job j1 with 600 items of 45000 bytes
    Then daemon c returns the body of item 599 of large job j1
    And daemon c has read at most 2 objects
    And daemon c knows no item 600 of large job j1

  Scenario: A large job that is submitted at two daemons at once runs once
    Guards against parts of an accepted job that another daemon discards.
    Given a platform with 4 engines and daemons a, b and c
    When daemons a and b accept large job j1 with 600 items of 45000 bytes at once
    Then the store holds the parts of job j1 once
    When 60 s go by
    Then daemon c lists 600 completed results of large job j1

  Scenario: The parts of a job that could not be stored are removed
    Guards against a store that fills up with refused steps.
    Given a platform with 4 engines and daemons a, b and c
    When the store fails after 2 objects while daemon a accepts large job j1
    Then it is not accepted and the store holds no object

  Scenario: Parts go with their job
    Given a platform with 4 engines and daemons a, b and c
    When daemon a accepts large job j1 with 600 items of 45000 bytes
    And large job j1 is removed
    Then the store holds no object

  Scenario: Jobs go to daemons that have memory for them
    Guards against the default owner that all jobs are given to.
    Given a platform with 4 engines and daemons a, b and c of 64 MB
    When daemon a accepts 12 jobs of 400 items
    Then no daemon holds more than 16777216 bytes for jobs
    And each daemon owns a job

  Scenario Outline: Jobs of a host with <limits> take <bound> MB at most
    Guards against a host without limits whose memory is not bounded.
    Given a settings file with the limits <limits>
    Then jobs may take <bound> MB, and all <room> MB

    Examples:
      | limits                                     | bound | room |
      | memory-mb = 160                            | 40    | 68   |
      | memory-mb = 160, jobs-mb = 12              | 12    | 68   |
      | memory-mb = 160, jobs-mb = 60              | 60    | 80   |
      | memory-mb = 64                             | 16    | 24   |
      | jobs-mb = -3                               | 64    | 108  |

  Scenario: A job is refused while no daemon has memory for it
    Guards against an acceptance that ends a process.
    Given a platform with 4 engines and daemons a, b and c of 64 MB
    When daemon a is sent 40 jobs of 400 items
    Then some are accepted and the others refused at once
    And no daemon holds more than 16777216 bytes for jobs
    When 100 s go by
    Then all accepted jobs are complete
    And no daemon holds memory for jobs

  Scenario: A job that was accepted is not refused when it is sent again
    Guards against a refusal, which promises that no part of the job runs,
    while the job runs.
    Given a platform with 4 engines and daemons a, b and c of 64 MB
    When daemon a is sent 40 jobs of 400 items
    Then each accepted job is accepted again at daemon b
    And daemon c answers 502 to an accepted job and 503 to another one for which it has no memory

  Scenario: Accepted jobs outlive the hosts that had memory for them
    Guards against a 202 that is taken back for want of memory.
    Given a platform with 4 engines and daemons a, b and c of 64 MB
    When daemon a is sent 40 jobs of 400 items
    And two of the daemons are killed
    And 200 s go by
    Then all accepted jobs are complete
