Feature: Each sample is delivered to its trainer exactly once
  Promise exactly_once: whatever fails, every step reaches its trainer once,
  with every sample, and an acknowledged step never comes back.

  Background:
    Given a running site with 3 hosts, 2 engine and 1 services
    And the class declarations
      """
      classes:
        - {kind: trainer, name: rollouts, pool: advisor-llm, model: advisor-llm, step_within_ms: 1000, max_staleness_versions: 2}
      """

  Scenario: Steps arrive in order, whole, at any host
    Guards against missing or repeated samples without any fault.
    When trainer t1 submits step 1 with 2 groups of 3 samples of 4 tokens at host h1
    And trainer t1 submits step 2 with 2 groups of 3 samples of 4 tokens at host h2
    And trainer t1 takes 2 steps from hosts h3, h2
    Then trainer t1 has each sample of steps 1 to 2 once
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
