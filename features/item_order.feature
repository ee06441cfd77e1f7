Feature: Waiting items start in the order of their latest start times
  Calls the decision directly, without a network. Two steps of one trainer are
  open at the same time, with more items than the engines have slots. The
  latest start of an item follows from the time of submission and the expected
  duration, which is learned from length hints.

  Background:
    Given items with a length hint of 1000 tokens took 0.5 s each

  Scenario: A long item of a newer step starts before short ones of an older
    Guards against a step that ends late because its longest items waited for
    short ones of the step before.
    Given a step submitted at 0 s with items of 1000 and 12000 tokens
    And a step submitted at 0.4 s with items of 1000 and 12000 tokens
    When the waiting items of both steps are ordered
    Then they start in the order 0/12000, 0.4/12000, 0/1000, 0.4/1000

  Scenario: Items of a step that is about to be late start first
    Guards against items that never start because longer ones keep coming.
    Given a step submitted at 0 s with items of 1000 and 1000 tokens
    And a step submitted at 7 s with items of 1000 and 12000 tokens
    When the waiting items of both steps are ordered
    Then they start in the order 0/1000, 0/1000, 7/12000, 7/1000

  Scenario: A length hint that is far too high has a limited effect
    Guards against wrong hints that put an item before a whole older step.
    Given a step submitted at 0 s with items of 12000 and 1000 tokens
    And a step submitted at 1 s with items of 900000 and 1000 tokens
    When the waiting items of both steps are ordered
    Then they start in the order 0/12000, 1/900000, 0/1000, 1/1000
