Feature: A non-repeatable request is executed at most once
  A posting is a non-repeatable request with an idempotency key: p1 is its
  key. A host claims the key in the table of the store before it calls a
  service. The scenarios guard against a second execution when hosts,
  services or the store fail; the journals of the services show how many
  times a posting was executed.

  Background:
    Given a running site with 2 hosts, 0 engine and 2 services
    And the class declarations
      """
      classes:
        - {kind: background, name: postings, pool: account-app, complete_within_ms: 20000}
      """

  Scenario: Concurrent requests with one key get one answer while store responses are lost
    Guards against two hosts that both assume that they hold the claim, and
    against a host that abandons a claim whose acknowledgement was lost.

    Given the fault switches of the platform are set to {"lose_answers": 3}
    When posting p1 is sent at the same time to hosts h1, h2, h1, h2
    Then every outcome is answered
    And every answer is the same
    And posting p1 ran 1 time

  Scenario: A repeated key gets its first answer from another host
    Guards against a second execution of a key that arrives with a new
    request identifier at another host after the first host was killed.

    When posting p2 is sent to host h1
    And the claim of posting p2 has the state done in the table
    And host h1 is killed
    And posting p2 is sent to host h2
    Then every outcome is answered
    And every answer is the same
    And posting p2 ran 1 time

  Scenario: The outcome is unknown after a host is killed between claim and answer
    Guards against a second host that executes a key although it cannot
    exclude that the first host executed it.

    Given the services are paused
    When posting p3 is sent to host h1 in the background
    And the claim of posting p3 is in the table
    And host h1 is killed
    And the background request ends
    And posting p3 is sent to host h2
    And the services are resumed
    Then the last outcome is unknown
    And posting p3 ran at most 1 time

  Scenario: A key that is reused with another body is refused
    Guards against returning the answer of the first request and against a
    second execution.

    When posting p4 is sent to host h1
    And posting p4 is sent to host h2 with amount 99
    Then the last outcome is not_run
    And posting p4 ran 1 time

  Scenario: A key runs at most once when its host is paused and the store is slow
    Guards against a host that calls a service after the deadline because it
    still holds the claim, while the caller has retried at another host.

    Given the fault switches of the platform are set to {"store_delay_s": 0.2}
    And the services are paused
    When posting p5 is sent to host h1 in the background
    And the claim of posting p5 is in the table
    And host h1 is paused
    And posting p5 is sent to host h2
    Then the last outcome is unknown
    When the services are resumed
    And host h1 goes on
    And the background request ends
    And posting p5 is sent to host h2
    Then posting p5 ran at most 1 time

  Scenario: A key is not executed again after a service crash and lost store responses
    Guards against a second attempt after the first byte was sent, and
    against a key that is executed again because its result was not stored.

    Given the service switches {"late_s": 30}
    When posting p6 is sent to host h1 in the background
    And posting p6 has started
    And the fault switches of the platform are set to {"lose_answers": 2}
    And the services are killed and restarted
    And the background request ends
    Then the last outcome is unknown
    When posting p6 is sent to host h2
    Then the last outcome is unknown
    And posting p6 ran 0 times since the services restarted

  Scenario: A key is not executed again after a crossed or truncated answer
    Guards against a second execution of a key whose answer is unusable.

    Given the service switches {"cross_answers": 1, "truncate": 1}
    When posting p7 is sent to host h1
    And posting p8 is sent to host h1
    And posting p7 is sent to host h2
    And posting p8 is sent to host h2
    Then every outcome is one of: unknown, answered
    And the repeated outcomes are the same
    And posting p7 ran 1 time
    And posting p8 ran 1 time
