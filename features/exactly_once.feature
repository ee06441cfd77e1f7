Feature: Each sample is delivered to its trainer exactly once
  Promise exactly_once: whatever fails, every step reaches its trainer once,
  with every sample, and an acknowledged step never comes back.

  Background:
    Given a training site with 3 hosts and 2 engines
    And a trainer class with a bound of 2 versions

  Scenario: Steps arrive in order, whole, at any host
    Guards against missing or repeated samples without any fault.
    When trainer t1 submits step 1 with 2 groups of 3 samples of 4 tokens at host h1
    And trainer t1 submits step 2 with 2 groups of 3 samples of 4 tokens at host h2
    And trainer t1 submits step 3 with 1 groups of 3 samples of 4 tokens at host h2
    And trainer t1 takes 2 steps from hosts h3, h2
    And trainer t1 takes 3 steps from the hosts that h1 names
    Then trainer t1 has each sample of steps 1 to 3 once
    And the versions of each sample are those that the engines ran

  Scenario: A step is submitted twice and with another body
    Guards against a repeated submission that starts a second step.
    When trainer t1 submits step 1 with 1 groups of 2 samples of 4 tokens at host h1
    And trainer t1 submits step 1 with 1 groups of 2 samples of 4 tokens at host h2
    Then the answer has status 200
    When trainer t1 submits step 1 with 1 groups of 3 samples of 4 tokens at host h2
    Then the answer has status 409
    When trainer t1 takes 1 steps from hosts h2
    Then trainer t1 has each sample of steps 1 to 1 once

  Scenario: A batch is fetched and acknowledged twice
    Guards against other bytes on a repeated fetch and against a cursor that
    moves back or accepts an old epoch.
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
    Guards against a step that is lost with its holder, or half kept.
    When model engine 1 has the faults {"die_after_tokens": 20}
    And trainer t1 submits step 1 with 2 groups of 4 samples of 60 tokens at host h1
    And samples of step 1 of trainer t1 are running
    And host h1 is killed
    And model engine 1 starts again
    And trainer t1 takes 1 steps from hosts h1, h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And the versions of each sample are those that the engines ran
    And each epoch of a step was fixed at most once

  Scenario: A paused holder resumes after its step was taken over
    Guards against a holder that acts on a lease that it lost, while the
    answer to the takeover is lost as well.
    When trainer t1 submits step 1 with 2 groups of 4 samples of 100 tokens at host h1
    And samples of step 1 of trainer t1 are running
    And daemon h1 is paused
    And the platform has the faults {"lose_answers": 1, "lose_answers_prefix": "step/"}
    And trainer t1 takes 1 steps from hosts h2
    And daemon h1 is resumed
    And trainer t1 submits step 2 with 2 groups of 4 samples of 4 tokens at host h2
    And trainer t1 takes 2 steps from hosts h1
    Then trainer t1 has each sample of steps 1 to 2 once
    And the table has a lost answer
    And each epoch of a step was fixed at most once
    And the cursor of trainer t1 moved by one step each time

  Scenario: The answers to the fix and to the acknowledgement are lost
    Guards against a batch that is fixed or acknowledged a second time when
    the store did the first write but its answer was lost.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And the platform has the faults {"lose_answers": 2, "lose_answers_prefix": "step/"}
    And trainer t1 fetches step 1 at host h2
    And the platform has the faults {"lose_answers": 2, "lose_answers_prefix": "cursor/"}
    And trainer t1 takes 1 steps from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And the table has a lost answer
    And each epoch of a step was fixed at most once
    And the cursor of trainer t1 moved by one step each time

  Scenario: The answer to the submission is lost and the holder is killed
    Guards against a step that nobody holds because its opener never learned
    that the row was written.
    When the platform has the faults {"lose_answers": 1, "lose_answers_prefix": "step/"}
    And trainer t1 submits step 1 with 1 groups of 4 samples of 100 tokens at host h1
    Then the answer has status 200
    When host h1 is killed
    And trainer t1 takes 1 steps from hosts h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And the table has a lost answer

  Scenario: The store is down while the trainer waits and the holder dies
    Guards against a batch that is handed out without the table, and against
    a step that stays with a dead holder.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And the platform has the faults {"store_down": true}
    Then a fetch of step 1 by trainer t1 at host h2 has status 204
    And a fetch of step 1 by trainer t1 at host h1 has status 204
    When host h1 is killed
    And the platform has the faults {"store_down": null}
    And trainer t1 takes 1 steps from hosts h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And each epoch of a step was fixed at most once

  Scenario: A holder is stopped gracefully in mid-step
    Guards against a handover that waits for the lease or loses the step.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 100 tokens at host h1
    And samples of step 1 of trainer t1 are running
    And daemon h1 is stopped gracefully
    And trainer t1 takes 1 steps from hosts h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And each epoch of a step was fixed at most once
    And step 1 of trainer t1 was handed over

  Scenario: A holder is stopped gracefully with finished samples
    Guards against finished samples that are generated again at the next host.
    When trainer t1 submits step 1 with 1 groups of 4 samples of 4 tokens at host h1
    And step 1 of trainer t1 has 4 finished samples
    And daemon h1 is stopped gracefully
    And trainer t1 takes 1 steps from hosts h2, h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And each sample of step 1 of trainer t1 ran once
    And step 1 of trainer t1 was handed over
