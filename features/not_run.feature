Feature: A request with the outcome not_run was not executed
  A caller may send a request with this outcome again. The scenarios guard
  against a host that reports not_run for a request that was or will be
  executed; the journals of the services show what was executed.

  Background:
    Given a site in one process with 3 hosts and 2 services
    And the class declarations
      """
      classes:
        - {kind: background, name: postings, pool: account-app, complete_within_ms: 20000}
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 8000}
      """

  Scenario: A posting is refused while the store is down and executed when it is slow
    Guards against a posting that is executed without a claim, and against
    refusals that continue after the outage.

    Given the fault switches of the platform are set to {"store_down": true}
    When posting r1 is sent to host h1 with a deadline of 400 ms
    And a lookup is sent to host h1
    Then the outcomes are not_run, answered
    And posting r1 ran 0 times
    When the fault switches of the platform are set to {"store_down": null, "store_delay_s": 0.1}
    And posting r1 is sent to host h2
    Then the last outcome is answered
    And posting r1 ran 1 time

  Scenario: An executed posting is not refused as not_run while the store is down
    Guards against a host that reports not_run for a request that another
    host has executed.

    When posting r2 is sent to host h1
    And the claim of posting r2 has the state done in the table
    And the fault switches of the platform are set to {"store_down": true}
    And the same request is sent again to host h2
    Then every outcome is answered
    When host h1 is stopped
    And the same request is sent again to host h3
    Then the last outcome is unknown
    And posting r2 ran 1 time

  Scenario: A request that the services refuse can be sent again
    Guards against a remaining claim that blocks a refused key, and against a
    refusal that is delayed until the deadline.

    Given the services refuse all calls
    And the fault switches of the platform are set to {"lose_answers": 1, "lose_answers_prefix": "claim/"}
    When posting r3 is sent to host h1
    And a lookup is sent to host h1
    Then every outcome is not_run
    And no request was started
    And every refusal has a retry-after time
    When the services accept calls
    And posting r3 is sent to host h2
    Then the last outcome is answered
    And posting r3 ran 1 time

  Scenario: A request whose endpoint starts leaving is sent to another endpoint
    Guards against a host that checks whether the endpoint is leaving no
    later than at the grant of the slot.

    When a queued request gets a slot at an endpoint that then starts leaving
    Then the last outcome is answered
    And the leaving endpoint received no call

  Scenario: The attempt of a caller that disconnects is cancelled
    Guards against work that continues for a caller that has disconnected.

    Given the fault switches of the services are set to {"late_s": 600}
    When a caller of host h1 disconnects during its lookup
    Then its slot at the endpoint is free again

  Scenario: Invalid fields of a request are refused
    Guards against incomplete validation of submitted requests.

    Then postings with these changes are refused with 400
      | change                          |
      | {"key": ""}                     |
      | {"caller": ""}                  |
      | {"request_id": "a/b"}           |
      | {"deadline_ms": -1}             |
      | {"repeatable": "no"}            |
      | {"body": []}                    |
    And no request was started

  Scenario: A second host returns the answer of a running key while the store is down
    Guards against a host that reports not_run because it cannot claim the
    key, while another host executes it.

    Given the fault switches of the services are set to {"late_s": 1.0}
    When posting r4 is sent to host h1 in the background
    And posting r4 is running
    And the fault switches of the platform are set to {"store_down": true}
    And posting r4 is sent to host h2
    Then the last outcome is answered
    And the background request ends
    And posting r4 ran 1 time
