Feature: Every sample names the weight versions that produced it
  Tests the guarantee versions: the version ranges of a sample come from its
  tokens, not from the version that engines were ordered to load, and are right
  while weights change and engines fail.

  Background:
    Given a training site with 3 hosts and 2 engines
    And a trainer class with a bound of 2 versions

  Scenario: Published weights reach every engine
    Guards against a roll-out that no daemon carries out.
    When the trainer publishes version 1 at host h2
    Then every engine reports version 1
    When trainer t1 submits step 1 with 2 groups of 2 samples of 4 tokens at host h1
    And trainer t1 receives 1 steps in total from hosts h1
    Then trainer t1 has each sample of steps 1 to 1 once
    And every delivered token is of version 1
    And the versions of each sample match the journals of the engines

  Scenario: A sample that spans a change of weights names each version
    Guards against samples that name the version that an engine was ordered to
    load instead of the versions that it ran. One engine fails to load it once.
    When model engine 1 has the faults {"fail_swaps": 1}
    And trainer t1 submits step 1 with 2 groups of 4 samples of 600 tokens at host h1
    And samples of step 1 of trainer t1 are running
    And the trainer publishes version 1 at host h2
    And trainer t1 receives 1 steps in total from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And the versions of each sample match the journals of the engines
    And the delivered samples name more than one version
    And every engine reports version 1

  Scenario: Tokens without a version are not delivered
    Guards against samples with a guessed version, and against samples that
    lose the versions of their first tokens when another engine resumes them.
    When model engine 1 has the faults {"drop_versions": 5}
    And model engine 2 has the faults {"die_after_tokens": 40}
    And trainer t1 submits step 1 with 2 groups of 4 samples of 60 tokens at host h1
    And model engine 2 starts again
    And the trainer publishes version 1 at host h2
    And trainer t1 receives 1 steps in total from hosts h3
    Then trainer t1 has each sample of steps 1 to 1 once
    And no delivered token lacks its version
    And the versions of each sample match the journals of the engines

  Scenario: An engine that restarts with old weights gets the newest
    Guards against engines that keep an old version because no daemon compares
    the version that they report. Engine 1 accepts orders of a former holder of
    the roll-out lease, which is paused and resumes; engine 2 restarts with
    version 0.
    When model engine 1 has the faults {"ignore_fence": true}
    And the trainer publishes version 1 at host h2
    Then every engine reports version 1
    When the holder of the roll-out lease is paused
    And the trainer publishes version 2 at a host that is not paused
    Then every engine reports version 2
    When the paused daemon is resumed
    And model engine 2 is killed and starts again
    Then every engine reports version 2
