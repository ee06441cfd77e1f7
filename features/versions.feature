Feature: Every sample names the weight versions that produced it
  Promise versions: the ranges of a sample come from its tokens, whatever was
  ordered, and hold while weights change and engines fail.

  Background:
    Given a running site with 2 hosts, 2 engine and 1 services
    And the class declarations
      """
      classes:
        - {kind: trainer, name: rollouts, pool: advisor-llm, model: advisor-llm, step_within_ms: 1000, max_staleness_versions: 2}
      """

  Scenario: Published weights reach every engine
    Guards against a roll-out that nobody drives.
    When the trainer publishes version 1 at host h2
    Then every engine reports version 1
    When trainer t1 submits step 1 with 2 groups of 2 samples of 4 tokens at host h1
    And trainer t1 takes 1 steps from hosts h1
    Then trainer t1 has each sample of steps 1 to 1 once
    And every delivered token is of version 1
    And the versions of each sample are those that the engines ran
