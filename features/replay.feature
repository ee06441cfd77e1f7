Feature: Record and replay decisions

  # Guards against traces that contain prompts, and against results that depend
  # on more than the recorded inputs and the seed.
  Scenario: A trace contains no prompts and replays to the same results
    Given a recorded trace of 60 routed prompts
    Then the trace contains no prompts
    And two replays give the recorded results

  # Guards against a check of expected outcomes that passes for any decisions.
  Scenario: An expected outcome that the decisions miss is reported
    Given a recorded trace of 60 routed prompts
    Then the outcome "routed" of 61 fails and of 60 holds
    And the outcome "busiest_to_mean" of 0.9 fails and of 4 holds
