Feature: Every sample names the weight versions that produced it
  Promise versions: the ranges of a sample come from its tokens, whatever was
  ordered, and hold while weights change and engines fail.

  Background:
    Given a training site with 3 hosts and 2 engines
    And a trainer class with a bound of 2 versions

  Scenario: Published weights reach every engine
    Guards against a roll-out that nobody drives.
    When the trainer publishes version 1 at host h2
    Then every engine reports version 1
    When trainer t1 submits step 1 with 2 groups of 2 samples of 4 tokens at host h1
    And trainer t1 takes 1 steps from hosts h1
    Then trainer t1 has each sample of steps 1 to 1 once
    And every delivered token is of version 1
    And the versions of each sample are those that the engines ran

  Scenario: Weights change in mid-sample and a swap fails partway
    Guards against samples that name the ordered version instead of the
    versions that ran.
    When model engine 1 has the faults {"fail_swaps": 1}
    And trainer t1 submits step 1 with 2 groups of 4 samples of 600 tokens at host h1
    And samples of step 1 of trainer t1 are running
    And the trainer publishes version 1 at host h2
    And trainer t1 takes 1 steps from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And the versions of each sample are those that the engines ran
    And the delivered samples name more than one version
    And every engine reports version 1

  Scenario: Tokens without a version while an engine crashes in mid-sample
    Guards against samples with a guessed version, and against resumed samples
    that forget the versions of their first tokens.
    When model engine 1 has the faults {"drop_versions": 5}
    And model engine 2 has the faults {"die_after_tokens": 40}
    And trainer t1 submits step 1 with 2 groups of 4 samples of 60 tokens at host h1
    And model engine 2 starts again
    And the trainer publishes version 1 at host h2
    And trainer t1 takes 1 steps from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And no delivered token lacks its version
    And the versions of each sample are those that the engines ran

  Scenario: An engine restarts with old weights and another ignores fences
    Guards against engines that stay behind because nobody compares what they
    report, while the holder of the roll-out lease is paused and resumes.
    When model engine 1 has the faults {"ignore_fence": true}
    And the trainer publishes version 1 at host h2
    Then every engine reports version 1
    When the holder of the roll-out lease is paused
    And the trainer publishes version 2 at a host that runs
    Then every engine reports version 2
    When the paused daemon is resumed
    And model engine 2 is killed and starts again
    Then every engine reports version 2
