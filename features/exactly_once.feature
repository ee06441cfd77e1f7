Feature: Each sample is delivered to its trainer exactly once
  Tests the guarantee exactly_once: whatever fails, a trainer receives each of
  its steps once, with every sample, and an acknowledged step is not delivered
  again. The holder of a step is the host whose daemon holds its lease.

  Background:
    Given a training site with 3 hosts and 2 engines
    And a trainer class with a bound of 2 versions

  Scenario: Any host delivers complete steps in order
    Guards against missing or repeated samples when no fault is injected.
    When trainer t1 submits step 1 with 2 groups of 3 samples of 4 tokens at host h1
    And trainer t1 submits step 2 with 2 groups of 3 samples of 4 tokens at host h2
    And trainer t1 submits step 3 with 1 groups of 3 samples of 4 tokens at host h2
    And trainer t1 receives 2 steps in total from hosts h3, h2
    And trainer t1 receives 3 steps in total from the hosts that h1 lists
    Then trainer t1 has each sample of steps 1 to 3 once
    And the versions of each sample match the journals of the engines

  Scenario: A repeated submission is accepted only with the same body
    Guards against a repeated submission that starts a second step.
    When trainer t1 submits step 1 with 1 groups of 2 samples of 4 tokens at host h1
    And trainer t1 submits step 1 with 1 groups of 2 samples of 4 tokens at host h2
    Then the answer has status 200
    When trainer t1 submits step 1 with 1 groups of 3 samples of 4 tokens at host h2
    Then the answer has status 409
    When trainer t1 receives 1 steps in total from hosts h2
    Then trainer t1 has each sample of steps 1 to 1 once

  Scenario: Fetches and acknowledgements of a batch can be repeated
    Guards against a repeated fetch that returns other bytes, and against a
    cursor that moves back or accepts an epoch other than that of the batch.
    When trainer t1 submits step 1 with 1 groups of 2 samples of 4 tokens at host h1
    And trainer t1 fetches step 1 at host h2
    And trainer t1 fetches step 1 at host h3
    Then both fetches have the same bytes
    When trainer t1 acknowledges the fetched batch at host h1
    And trainer t1 acknowledges the fetched batch at host h3
    Then the answer has status 200
    When trainer t1 acknowledges the fetched batch with epoch 7 at host h2
    Then the answer has status 409
    And the cursor of trainer t1 moved by one step each time

  Scenario: The holder is killed while an engine crashes in mid-sample
    Guards against a step that is lost with its holder, entirely or in part.
    The paused holder never learns of the crash.
    When model engine 1 has the faults {"die_after_tokens": 20}
    And trainer t1 submits step 1 with 2 groups of 4 samples of 60 tokens at host h1
    And samples of step 1 of trainer t1 are running at model engine 1
    And daemon h1 is paused
    And model engine 1 has crashed in mid-sample
    And host h1 is killed
    And model engine 1 starts again
    And trainer t1 receives 1 steps in total from hosts h1, h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And the versions of each sample match the journals of the engines
    And each epoch of a step was made final at most once

  Scenario: The holder is killed right after an engine crashed in mid-sample
    Guards against a step that is lost if its holder is killed while it
    repeats the samples of an engine that crashed.
    When model engine 1 has the faults {"die_after_tokens": 20}
    And trainer t1 submits step 1 with 2 groups of 4 samples of 60 tokens at host h1
    And samples of step 1 of trainer t1 are running at model engine 1
    And model engine 1 has crashed in mid-sample
    And host h1 is killed
    And model engine 1 starts again
    And trainer t1 receives 1 steps in total from hosts h1, h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And the versions of each sample match the journals of the engines
    And each epoch of a step was made final at most once

  Scenario: A holder that resumes after a takeover causes no second batch
    Guards against a holder that acts on a lease that it has lost, when the
    response of the table to the takeover is lost as well.
    When trainer t1 submits step 1 with 2 groups of 4 samples of 100 tokens at host h1
    And samples of step 1 of trainer t1 are running
    And daemon h1 is paused
    And the platform has the faults {"lose_answers": 1, "lose_answers_prefix": "step/"}
    And trainer t1 receives 1 steps in total from hosts h2
    And daemon h1 is resumed
    And trainer t1 submits step 2 with 2 groups of 4 samples of 4 tokens at host h2
    And trainer t1 receives 2 steps in total from hosts h1
    Then trainer t1 has each sample of steps 1 to 2 once
    And a response of the table was lost
    And each epoch of a step was made final at most once
    And the cursor of trainer t1 moved by one step each time

  Scenario: Lost responses cause no second write of a batch or cursor
    Guards against a batch that is made final or acknowledged a second time
    because the store did the first write but its response was lost.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And the platform has the faults {"lose_answers": 2, "lose_answers_prefix": "step/"}
    And trainer t1 fetches step 1 at host h2
    And the platform has the faults {"lose_answers": 2, "lose_answers_prefix": "cursor/"}
    And trainer t1 receives 1 steps in total from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And a response of the table was lost
    And each epoch of a step was made final at most once
    And the cursor of trainer t1 moved by one step each time

  Scenario: A step survives its holder if the response to its row is lost
    Guards against a step without a holder: the host that accepted it did not
    learn that its row was written.
    When the platform has the faults {"lose_answers": 1, "lose_answers_prefix": "step/"}
    And trainer t1 submits step 1 with 1 groups of 4 samples of 100 tokens at host h1
    Then the answer has status 200
    When host h1 is killed
    And trainer t1 receives 1 steps in total from hosts h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And a response of the table was lost

  Scenario: No batch is delivered while the store is down
    Guards against a batch that is delivered without a check of the table, and
    against a step that is not taken over after its holder was killed.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And the platform has the faults {"store_down": true}
    Then a fetch of step 1 by trainer t1 at host h2 has status 204
    And a fetch of step 1 by trainer t1 at host h1 has status 204
    When host h1 is killed
    And the platform has the faults {"store_down": null}
    And trainer t1 receives 1 steps in total from hosts h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And each epoch of a step was made final at most once

  Scenario: A holder that is stopped gracefully hands over its unfinished step
    Guards against a handover that waits until the lease expires, or loses the
    step.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 100 tokens at host h1
    And samples of step 1 of trainer t1 are running
    And daemon h1 is stopped gracefully
    And trainer t1 receives 1 steps in total from hosts h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And each epoch of a step was made final at most once
    And step 1 of trainer t1 was handed over

  Scenario: Finished samples are kept when their holder is stopped gracefully
    Guards against finished samples that the next holder generates again.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And step 1 of trainer t1 has 4 finished samples
    And daemon h1 is stopped gracefully
    And trainer t1 receives 1 steps in total from hosts h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And each sample of step 1 of trainer t1 ran once
    And step 1 of trainer t1 was handed over
