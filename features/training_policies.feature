Feature: Decisions of the training policies
  Calls the policies directly, without a site and with a given time. Each
  scenario tests one rule.

  Scenario: Samples that are expected to be long start first
    Guards against a long sample that starts last and delays the whole batch.
    Given the groups policy longest_first
    When samples of prompt a had 10 tokens and of prompt b 90 tokens
    Then the samples of prompts a, b start in the order b, a

  Scenario: The trainer that has waited longest is served first
    Guards against a trainer that is never served while others have work.
    Given the groups policy longest_first
    Then of trainers waiting since 5, 3 and not at all, number 2 is served next

  Scenario: A straggler moves or restarts only if that saves enough time
    Guards against second attempts that cost more than they save.
    Given the groups policy longest_first
    When samples of prompt a had 100 tokens and of prompt b 100 tokens
    Then a sample with 20 tokens at 10 tokens/s and another engine at 100 tokens/s leads to the decision Move
    And a sample with 20 tokens at 100 tokens/s and another engine at 110 tokens/s leads to the decision Wait
    And a sample that exceeds the staleness bound at 10 tokens/s and another engine at 100 tokens/s leads to the decision Rerun

  Scenario: A sample is stopped if it will be too old and a restart helps
    Guards against samples that are finished and then discarded as too old, and
    against a restart that would not use newer weights.
    Given weights of versions 1, 2 and 3 published 10 s apart
    Then a sample of version 2 with bound 1 and 5 s left is viable 1 s later
    And a sample of version 2 with bound 1 and 15 s left is not viable 1 s later
    And a sample of version 1 with bound 1 and 0 s left is not viable 1 s later
    And a sample of version 3 with bound 0 and 99 s left is viable 1 s later
    And a sample of version 2 with bound 1 and 15 s left is viable 30 s later

  Scenario: A wave orders few engines, first those near a copy
    Guards against a roll-out that leaves too few engines for callers.
    Given 6 engines in data centres a, b with version 1 at the first
    Then a wave of the roll-out orders 2 engines, the first one in data centre a
    And under load 0.8 a wave of the roll-out orders 1 engines, the first one in data centre a
    And the naive roll-out orders 5 engines
