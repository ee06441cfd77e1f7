Feature: Claims of non-repeatable requests
  A host claims the key of a posting in the table before it calls a service.
  The scenarios guard against keys that stay blocked or are executed twice.
  They run a site in one process and control its clock and table, to produce
  interleavings that occur only by chance between real processes.

  Background:
    Given a site in one process with 2 hosts and 2 services
    And the class declarations
      """
      classes:
        - {kind: background, name: postings, pool: account-app, complete_within_ms: 20000}
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 8000}
      """

  Scenario: A key can be executed after a late claim of a refused request
    Guards against a key that stays blocked, or is executed twice, because
    the claim of a refused request was written later.

    Given the claims of host h1 are delayed
    When posting q1 is sent to host h1 with a deadline of 500 ms
    Then the last outcome is not_run
    When the delayed claims of host h1 take effect
    And the fault switches of the platform are set to {"lose_answers": 1, "lose_answers_prefix": "claim/"}
    And posting q1 is sent to host h2
    Then the last outcome is answered
    And posting q1 ran 1 time

  Scenario: The outcome is unknown after the holder of a late claim restarts
    Guards against a key that another host executes although no host knows
    whether the holder of the claim executed it.

    Given the claims of host h1 are delayed
    When posting q2 is sent to host h1 with a deadline of 500 ms
    And the delayed claims of host h1 take effect
    And host h1 is restarted
    And posting q2 is sent to host h2
    Then the last outcome is unknown
    And posting q2 ran 0 times

  Scenario: A host that is paused past the deadline releases its claim
    Guards against a service call after the caller got the outcome not_run.

    Given host h1 is paused past the deadline after its next claim
    When posting q3 is sent to host h1 with a deadline of 900 ms
    Then the last outcome is not_run
    And posting q3 ran 0 times
    And the claim of posting q3 went through claimed, released
    When posting q3 is sent to host h2
    Then the last outcome is answered
    And posting q3 ran 1 time

  Scenario: A claim is released after a pause past the deadline and a store outage
    Guards against a claim that stays because its release failed during the
    outage.

    Given host h1 is paused and the store goes down after its next claim
    When posting q4 is sent to host h1 with a deadline of 900 ms
    Then the last outcome is not_run
    When the fault switches of the platform are set to {"store_down": null}
    And posting q4 is sent to host h2
    Then the last outcome is answered
    And posting q4 ran 1 time

  Scenario: Concurrent claims share transactions while store responses are lost
    Guards against a write to the store for each claim.

    Given the fault switches of the platform are set to {"lose_answers": 2, "lose_answers_prefix": "claim/"}
    When 100 postings are sent at the same time to host h1
    Then every outcome is answered
    And every posting ran 1 time
    And the claims were written in at most 12 transactions

  Scenario: A key that is already claimed does not affect concurrent claims
    Guards against a conflict of one key that fails the other claims of its
    transaction.

    Given posting many-7 was sent to host h2
    When 30 postings are sent at the same time to host h1
    Then every outcome is answered
    And every posting ran 1 time
