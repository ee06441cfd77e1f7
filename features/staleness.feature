Feature: No delivered sample is older than the staleness bound
  Tests the guarantee staleness: a batch is within the bound of the newest
  weights in the table when it is delivered, at whatever time newer weights are
  published.

  Every fetch in these scenarios checks the bound against the newest version
  that was published before it. The scenarios publish at each stage of a batch:
  its samples are generated, it is made final, fetched and acknowledged. A step
  that is generated again gets a higher epoch.

  Background:
    Given a training site with 3 hosts and 2 engines
    And a trainer class with a bound of 1 versions

  Scenario: Samples that become too old while they run are not delivered
    Guards against samples that are finished with weights that have become too
    old, while one engine keeps the old version because its loads fail.
    When model engine 1 has the faults {"fail_swaps": 2}
    And trainer t1 submits step 1 with 2 groups of 4 samples of 200 tokens at host h1
    And samples of step 1 of trainer t1 are running
    And the trainer publishes version 1 at host h2
    And the trainer publishes version 2 at host h3
    And trainer t1 receives 1 steps in total from hosts h2
    Then trainer t1 has each sample of steps 1 to 1 once
    And the versions of each sample match the journals of the engines
    And no step was made final outside its staleness bound
    And every engine reports version 2

  Scenario: Finished samples that become too old are not made final
    Guards against a batch that is made final although it exceeds the bound.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And step 1 of trainer t1 has 4 finished samples
    And the trainer publishes version 2 at host h2
    And trainer t1 receives 1 steps in total from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And no step was made final outside its staleness bound

  Scenario: Weights published while a batch is made final are not missed
    Guards against a race: the batch is compared with weights that are no
    longer the newest when its row is written. A slow store makes it likely.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And step 1 of trainer t1 has 4 finished samples
    And the platform has the faults {"store_delay_s": 0.3}
    And version 2 is published while a fetch makes final step 1 of trainer t1
    And the platform has the faults {"store_delay_s": null}
    And trainer t1 receives 1 steps in total from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And no step was made final outside its staleness bound

  Scenario: A final batch that becomes too old is generated again
    Guards against the delivery of a final batch that exceeds the bound, and
    against an acknowledgement of an epoch that was replaced. The holder is
    killed in between, so that another host has to replace it.
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
    And each epoch of a step was made final at most once

  Scenario: A delivered batch can be acknowledged despite newer weights
    Guards against a delivered batch that cannot be acknowledged, and against
    an acknowledged step that is generated again, also when the response of the
    table to the acknowledgement is lost.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And trainer t1 fetches step 1 at host h2
    And the trainer publishes version 2 at host h3
    And the platform has the faults {"lose_answers": 1, "lose_answers_prefix": "cursor/"}
    And trainer t1 acknowledges the fetched batch at host h3
    Then the answer has status 200
    And a fetch of step 1 by trainer t1 at host h2 has status 409
    And a response of the table was lost

  Scenario Outline: An acknowledged batch is not replaced by a fetch
    Guards against a race between an acknowledgement and a fetch that replaces
    the batch, in which an epoch that was replaced is acknowledged, or an
    acknowledged step is generated again.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And trainer t1 fetches step 1 at host h2
    And the trainer publishes version 2 at host h3
    And the platform has the faults {"store_delay_s": 0.3}
    And step 1 is fetched by t1 at h2 and acknowledged at h3 <later> s later
    And the platform has the faults {"store_delay_s": null}
    Then each acknowledgement was of the final epoch, which was not replaced

    Examples:
      | later |
      | 0.0   |
      | 0.5   |

  Scenario: The published version never decreases
    Guards against an older version that replaces a newer one, and against a
    publication that is confirmed before the table holds it. The table loses
    the response to the first write, so the publication is repeated.
    When the platform has the faults {"lose_answers": 1, "lose_answers_prefix": "weights/"}
    And the trainer publishes version 2 at host h2
    Then a response of the table was lost
    And publishing version 1 at host h3 has status 409
    And publishing version 2 at host h3 has status 200
    And the versions in the table only increased
