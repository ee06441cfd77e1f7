Feature: Items start in the order in which their steps need them
  The decision alone, without a network: two steps of one trainer are open at
  once, and together they have more items than the engines have slots.

  Background:
    Given items of 1000 hinted tokens took 0.5 s each

  Scenario: A long item of the newer step
    Guards against a step that ends late because its longest items waited for
    short ones of the step before.
    Given a step submitted at 0 s with items of 1000 and 12000 tokens
    And a step submitted at 0.4 s with items of 1000 and 12000 tokens
    When the items of both steps wait
    Then they start in the order 0/12000, 0.4/12000, 0/1000, 0.4/1000

  Scenario: An old step is about to be late
    Guards against items that never start because longer ones keep coming.
    Given a step submitted at 0 s with items of 1000 and 1000 tokens
    And a step submitted at 7 s with items of 1000 and 12000 tokens
    When the items of both steps wait
    Then they start in the order 0/1000, 0/1000, 7/12000, 7/1000

  Scenario: A hint is far too high
    Guards against wrong hints that put an item before a whole older step.
    Given a step submitted at 0 s with items of 12000 and 1000 tokens
    And a step submitted at 1 s with items of 900000 and 1000 tokens
    When the items of both steps wait
    Then they start in the order 0/12000, 1/900000, 0/1000, 1/1000
