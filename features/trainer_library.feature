Feature: The trainer's library hands out each step once
  Guards the last part of the way, where the service cannot help: responses
  that arrive late, damaged or for another step.

  Scenario: A late, a damaged and a foreign response are dropped
    Guards against samples that left the staleness bound on their way.
    Given an entry host that answers fetches with
      | answer  | epoch |
      | late    | 1     |
      | damaged | 1     |
      | foreign | 1     |
      | whole   | 2     |
    When the library takes 1 step
    Then the steps have the epochs 2
    And the entry host was asked 4 times for a batch

  Scenario: A step that was handed out is not handed out again
    Guards against a second epoch of a step that the trainer has consumed.
    Given an entry host that answers fetches with
      | answer | epoch |
      | whole  | 1     |
      | whole  | 2     |
    And the entry host refuses acknowledgements of epoch 1
    When the library takes 1 step
    Then the steps have the epochs 1
    And the entry host acknowledged epoch 2

  Scenario: A trainer starts after a step that it did not acknowledge
    Guards against a trainer that can never acknowledge again because it ended
    between consuming a step and acknowledging it.
    Given an entry host that answers fetches with
      | answer | epoch |
      | whole  | 1     |
      | whole  | 1     |
      | whole  | 1     |
    And the entry host has the cursor at step 0
    When the library takes 1 step after step 1
    Then the cursor of the entry host is at step 2
