Feature: The trainer library returns each step once
  Tests what the daemons cannot check: responses that arrive at the trainer
  late, damaged or for another step. The entry host is simulated; `foreign` is
  a response for another step, `whole` is an intact one.

  Scenario: Responses that are late, damaged or for another step are dropped
    Guards against samples that exceed the staleness bound when they arrive, as
    well as against corrupt or unrelated samples.
    Given an entry host that answers fetches with
      | answer  | epoch |
      | late    | 1     |
      | damaged | 1     |
      | foreign | 1     |
      | whole   | 2     |
    When the library takes 1 step
    Then the steps have the epochs 2
    And the entry host was asked 4 times for a batch

  Scenario: A step that was returned is not returned again
    Guards against a trainer that consumes a step again because its batch was
    replaced by one of a second epoch.
    Given an entry host that answers fetches with
      | answer | epoch |
      | whole  | 1     |
      | whole  | 2     |
    And the entry host refuses acknowledgements of epoch 1
    When the library takes 1 step
    Then the steps have the epochs 1
    And the entry host acknowledged epoch 2

  Scenario: A trainer can start after a step that it did not acknowledge
    Guards against a trainer that can never acknowledge again because it
    stopped between consuming a step and acknowledging it.
    Given an entry host that answers fetches with
      | answer | epoch |
      | whole  | 1     |
      | whole  | 1     |
      | whole  | 1     |
    And the entry host has the cursor at step 0
    When the library takes 1 step after step 1
    Then the cursor of the entry host is at step 2
