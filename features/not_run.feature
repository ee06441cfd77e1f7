Feature: A request refused as not run was not executed
  What really ran is read from the journals of the services.

  Background:
    Given a site in one process with 3 hosts and 2 services
    And the class declarations
      """
      classes:
        - {kind: background, name: postings, pool: account-app, complete_within_ms: 20000}
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 8000}
      """

  Scenario: The store is down, then slow
    Guards against a posting that is sent without a claim, and against a
    refusal that lasts longer than the outage.

    Given the platform switches {"store_down": true}
    When posting r1 is sent to host h1 with 400 ms left
    And a lookup is sent to host h1
    Then the outcomes are not_run, answered
    And posting r1 ran 0 times
    When the platform switches {"store_down": null, "store_delay_s": 0.1}
    And posting r1 is sent to host h2
    Then the last outcome is answered
    And posting r1 ran 1 time

  Scenario: A posting that ran is sent again to another host while the store is down
    Guards against a host that calls a request not run which another host
    has run.

    When posting r2 is sent to host h1
    And the end of posting r2 is in the table
    And the platform switches {"store_down": true}
    And the same request is sent again to host h2
    Then every outcome is answered
    When host h1 is stopped
    And the same request is sent again to host h3
    Then the last outcome is unknown
    And posting r2 ran 1 time

  Scenario: The services refuse and the store loses an answer
    Guards against a claim that blocks a key which was refused, and against a
    refusal that is held until the deadline.

    Given the services refuse all calls
    And the platform switches {"lose_answers": 1, "lose_answers_prefix": "claim/"}
    When posting r3 is sent to host h1
    And a lookup is sent to host h1
    Then every outcome is not_run
    And no request was started
    And every refusal names a time to come back
    When the services accept calls
    And posting r3 is sent to host h2
    Then the last outcome is answered
    And posting r3 ran 1 time

  Scenario: An endpoint leaves between the grant of a place and its use
    Guards against a check of leaving marks that is made too early.

    When a waiting request gets a place at an endpoint that then leaves
    Then the last outcome is answered
    And the endpoint that left got no call

  Scenario: A caller disconnects
    Guards against work that goes on for a caller that is gone.

    Given the services switch {"late_s": 600}
    When a caller of host h1 leaves during its lookup
    Then its place at the endpoint is free again

  Scenario: A request with a wrong body
    Guards against lenient checks of what is submitted.

    Then these changes of a posting are refused with 400
      | change                          |
      | {"key": ""}                     |
      | {"caller": ""}                  |
      | {"request_id": "a/b"}           |
      | {"deadline_ms": -1}             |
      | {"repeatable": "no"}            |
      | {"body": []}                    |
    And no request was started

  Scenario: A key is under way at one host when the store goes down
    Guards against a host that refuses a key as not run, because it cannot
    claim it, while another host runs it.

    Given the services switch {"late_s": 1.0}
    When posting r4 is on its way through host h1
    And posting r4 is running
    And the platform switches {"store_down": true}
    And posting r4 is sent to host h2
    Then the last outcome is answered
    And the request on its way ends
    And posting r4 ran 1 time
