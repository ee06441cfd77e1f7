Feature: No delivered sample is older than the staleness bound
  Promise staleness: the bound holds against the weights in the table when a
  batch is handed over, whenever newer weights are published.

  Every fetch in these scenarios checks the bound against the newest version
  that was published before it.

  Background:
    Given a training site with 3 hosts and 2 engines
    And a trainer class with a bound of 1 versions

  Scenario: Newer weights while a batch is generated and a swap fails partway
    Guards against samples that are finished with weights that became too old,
    where one engine keeps the old version.
    When model engine 1 has the faults {"fail_swaps": 2}
    And trainer t1 submits step 1 with 2 groups of 4 samples of 200 tokens at host h1
    And samples of step 1 of trainer t1 are running
    And the trainer publishes version 1 at host h2
    And the trainer publishes version 2 at host h3
    And trainer t1 takes 1 steps from hosts h2
    Then trainer t1 has each sample of steps 1 to 1 once
    And the versions of each sample are those that the engines ran
    And no step was fixed outside its bound
    And every engine reports version 2

  Scenario: Newer weights after the samples are finished, before the fix
    Guards against a finished batch that is fixed although it left the bound.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And step 1 of trainer t1 has 4 finished samples
    And the trainer publishes version 2 at host h2
    And trainer t1 takes 1 steps from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And no step was fixed outside its bound

  Scenario: Newer weights in the middle of the fix while the store is slow
    Guards against a fix that compared the batch with weights that are no
    longer the newest when the row is written.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And step 1 of trainer t1 has 4 finished samples
    And the platform has the faults {"store_delay_s": 0.3}
    And version 2 is published between the reads and the fix of step 1 of trainer t1
    And the platform has the faults {"store_delay_s": null}
    And trainer t1 takes 1 steps from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And no step was fixed outside its bound

  Scenario: Newer weights between the fix and the fetch, the holder killed
    Guards against the delivery of fixed bytes that left the bound, and
    against an acknowledgement of an epoch that was taken back.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And trainer t1 fetches step 1 at host h2
    And the trainer publishes version 2 at host h3
    And host h1 is killed
    And trainer t1 fetches step 1 at host h2
    And trainer t1 acknowledges the first fetched batch at host h3
    Then the answer has status 409
    When trainer t1 acknowledges the fetched batch at host h3
    Then the answer has status 200
    And the fetched batches have the epochs 1, 2
    And each epoch of a step was fixed at most once

  Scenario: Newer weights between the fetch and the acknowledgement
    Guards against a delivered batch that cannot be acknowledged, and against
    an acknowledged step that is generated again.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And trainer t1 fetches step 1 at host h2
    And the trainer publishes version 2 at host h3
    And the platform has the faults {"lose_answers": 1, "lose_answers_prefix": "cursor/"}
    And trainer t1 acknowledges the fetched batch at host h3
    Then the answer has status 200
    And a fetch of step 1 by trainer t1 at host h2 has status 409
    And the table has a lost answer

  Scenario Outline: An acknowledgement meets a fetch that takes the batch back
    Guards against a cursor on an epoch that was taken back, or an
    acknowledged step that is generated again, when both happen at once.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And trainer t1 fetches step 1 at host h2
    And the trainer publishes version 2 at host h3
    And the platform has the faults {"store_delay_s": 0.3}
    And a fetch of step 1 by t1 at h2 meets the acknowledgement at h3 <later> s later
    And the platform has the faults {"store_delay_s": null}
    Then each acknowledgement was of the fixed epoch, which stayed

    Examples:
      | later |
      | 0.0   |
      | 0.5   |

  Scenario: Weights are published twice with lost answers
    Guards against versions that go back, or a publication that is answered
    before the table holds it.
    When the platform has the faults {"lose_answers": 1, "lose_answers_prefix": "weights/"}
    And the trainer publishes version 2 at host h2
    Then the table has a lost answer
    And publishing version 1 at host h3 has status 409
    And publishing version 2 at host h3 has status 200
    And the versions in the table only rose
