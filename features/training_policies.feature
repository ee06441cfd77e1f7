Feature: The policies of training decide by what they were told
  Pure decisions with a given time; each scenario guards one rule.

  Scenario: Likely long samples start first
    Guards against a long sample that starts last and ends alone.
    Given the groups policy longest_first
    When samples of prompt a had 10 tokens and of prompt b 90 tokens
    Then the samples of prompts a, b start in the order b, a

  Scenario: The trainer that has waited longest is served first
    Guards against a trainer that starves because others always have work.
    Given the groups policy longest_first
    Then of trainers waiting since 5, 3 and never the next is number 2

  Scenario: A straggler moves only when it pays
    Guards against second attempts that cost more than they save.
    Given the groups policy longest_first
    When samples of prompt a had 100 tokens and of prompt b 100 tokens
    Then a sample with 20 tokens at 10 tokens/s and another engine at 100 tokens/s is decided as Move
    And a sample with 20 tokens at 100 tokens/s and another engine at 110 tokens/s is decided as Wait
    And a sample that left the bound at 10 tokens/s and another engine at 100 tokens/s is decided as Rerun

  Scenario: Work that will be too old is stopped while it can be
    Guards against samples that are finished only to be discarded, and guards
    against a restart that could not be newer.
    Given weights of versions 1, 2 and 3 published 10 s apart
    Then a sample of version 2 with bound 1 and 5 s left is viable 1 s later
    And a sample of version 2 with bound 1 and 15 s left is not viable 1 s later
    And a sample of version 1 with bound 1 and 0 s left is not viable 1 s later
    And a sample of version 3 with bound 0 and 99 s left is viable 1 s later
    And a sample of version 2 with bound 1 and 15 s left is viable 30 s later

  Scenario: Few engines swap at once, near copies first
    Guards against a roll-out that takes the engines away from callers.
    Given 6 engines in data centres a, b with version 1 at the first
    Then the waves order 2 engines, the first one in data centre a
    And under load 0.8 the waves order 1 engines, the first one in data centre a
    And the naive roll-out orders 5 engines
