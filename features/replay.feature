Feature: Record and replay decisions

  # Guards against prompts in traces and against results that depend on more
  # than the recorded inputs and the seed.
  Scenario: A recorded trace holds no prompt and replays to the same results
    Given a recorded trace of 60 routed prompts
    Then the trace holds no prompt
    And two replays give the recorded results

  # Guards against a comparison that passes whatever the decisions are.
  Scenario: A stated outcome that does not hold is reported
    Given a recorded trace of 60 routed prompts
    Then the outcome "routed" of 61 fails and of 60 holds
    And the outcome "busiest_to_mean" of 0.9 fails and of 4 holds
