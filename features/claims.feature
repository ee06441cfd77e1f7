Feature: The claim of a not-repeatable request
  A site in one process, whose clock and table the scenarios control, runs
  interleavings that real processes meet only by chance.

  Background:
    Given a site in one process with 2 hosts and 2 services
    And the class declarations
      """
      classes:
        - {kind: background, name: postings, pool: account-app, complete_within_ms: 20000}
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 8000}
      """

  Scenario: A claim takes effect after its refusal and the next host loses an answer
    Guards against a key that stays blocked, or runs twice, because the
    refused claim appeared in the table later.

    Given the claims of host h1 are delayed
    When posting q1 is sent to host h1 with 500 ms left
    Then the last outcome is not_run
    When the delayed claims of host h1 take effect
    And the platform switches {"lose_answers": 1, "lose_answers_prefix": "claim/"}
    And posting q1 is sent to host h2
    Then the last outcome is answered
    And posting q1 ran 1 time

  Scenario: The host that refused forgets its claim
    Guards against a key that another host runs although nobody can tell
    whether the holder of its claim ran it.

    Given the claims of host h1 are delayed
    When posting q2 is sent to host h1 with 500 ms left
    And the delayed claims of host h1 take effect
    And host h1 is started again
    And posting q2 is sent to host h2
    Then the last outcome is unknown
    And posting q2 ran 0 times

  Scenario: A pause past the deadline after the claim
    Guards against a call that is sent after its caller was told otherwise.

    Given the next claim of host h1 ends in a pause past the deadline
    When posting q3 is sent to host h1 with 900 ms left
    Then the last outcome is not_run
    And posting q3 ran 0 times
    And the claim of posting q3 went through claimed, released
    When posting q3 is sent to host h2
    Then the last outcome is answered
    And posting q3 ran 1 time

  Scenario: A pause past the deadline and an outage of the store
    Guards against a release that is lost with the store.

    Given the next claim of host h1 ends in a pause and an outage
    When posting q4 is sent to host h1 with 900 ms left
    Then the last outcome is not_run
    When the platform switches {"store_down": null}
    And posting q4 is sent to host h2
    Then the last outcome is answered
    And posting q4 ran 1 time

  Scenario: Many claims at once while answers are lost
    Guards against a write to the store for each claim.

    Given the platform switches {"lose_answers": 2, "lose_answers_prefix": "claim/"}
    When 100 postings are sent at the same time to host h1
    Then every outcome is answered
    And every posting ran 1 time
    And the claims were written in at most 12 transactions

  Scenario: One claimed key among many new ones
    Guards against a conflict of one key that fails the claims beside it.

    Given posting many-7 was sent to host h2
    When 30 postings are sent at the same time to host h1
    Then every outcome is answered
    And every posting ran 1 time
