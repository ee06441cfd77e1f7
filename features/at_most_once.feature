Feature: A not-repeatable request runs at most once
  What really ran is read from the journals of the services.

  Background:
    Given a running site with 2 hosts, 0 engine and 2 services
    And the class declarations
      """
      classes:
        - {kind: background, name: postings, pool: account-app, complete_within_ms: 20000}
      """

  Scenario: The same key at two hosts at once while store answers are lost
    Guards against two hosts that both believe that they hold the claim, and
    against a host that gives up a claim whose acknowledgement was lost.

    Given the platform switches {"lose_answers": 3}
    When posting p1 is sent at the same time to hosts h1, h2, h1, h2
    Then every outcome is answered
    And every answer is the same
    And posting p1 ran 1 time

  Scenario: A key is sent again after its answer
    Guards against a second run of a key that arrives under a new identifier
    at another host when the first host has been killed.

    When posting p2 is sent to host h1
    And the end of posting p2 is in the table
    And host h1 is killed
    And posting p2 is sent to host h2
    Then every outcome is answered
    And every answer is the same
    And posting p2 ran 1 time

  Scenario: The host is killed between the claim and the answer
    Guards against a second host that runs a key whose first run it cannot
    exclude.

    Given the services are paused
    When posting p3 is on its way through host h1
    And the claim of posting p3 is in the table
    And host h1 is killed
    And the request on its way ends
    And posting p3 is sent to host h2
    And the services go on
    Then the last outcome is unknown
    And posting p3 ran at most 1 time

  Scenario: The same key with another body
    Guards against an answer of another request and against a second run.

    When posting p4 is sent to host h1
    And posting p4 is sent to host h2 with amount 99
    Then the last outcome is not_run
    And posting p4 ran 1 time

  Scenario: A host is paused past the deadline while the store is slow
    Guards against a host that sends late under a claim that it still holds,
    while its caller has gone to another host.

    Given the platform switches {"store_delay_s": 0.2}
    And the services are paused
    When posting p5 is on its way through host h1
    And the claim of posting p5 is in the table
    And host h1 is paused
    And posting p5 is sent to host h2
    Then the last outcome is unknown
    When the services go on
    And host h1 goes on
    And the request on its way ends
    And posting p5 is sent to host h2
    Then posting p5 ran at most 1 time

  Scenario: A service crashes in mid-call and the store loses answers
    Guards against a second attempt after the first byte was sent, and
    against a key that is run again because its end was not stored.

    Given the service switches {"late_s": 30}
    When posting p6 is on its way through host h1
    And posting p6 has started
    And the platform switches {"lose_answers": 2}
    And the services are killed and started again
    And the request on its way ends
    Then the last outcome is unknown
    When posting p6 is sent to host h2
    Then the last outcome is unknown
    And posting p6 ran 0 times since then

  Scenario: Crossed and truncated answers
    Guards against a second run of a key whose answer cannot be used.

    Given the service switches {"cross_answers": 1, "truncate": 1}
    When posting p7 is sent to host h1
    And posting p8 is sent to host h1
    And posting p7 is sent to host h2
    And posting p8 is sent to host h2
    Then every outcome is one of: unknown, answered
    And the repeated outcomes are the same
    And posting p7 ran 1 time
    And posting p8 ran 1 time
