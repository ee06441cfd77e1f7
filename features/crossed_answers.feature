Feature: A caller never gets the answer of another request
  The services of a site in one process cross answers (return them for
  another request), truncate and delay them. The scenarios guard against
  answers that are returned without a check of the request they belong to.

  Background:
    Given a site in one process with 2 hosts and 2 services
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 8000}
      """

  Scenario: Crossed and truncated answers are requested again
    Guards against a caller that gets a crossed or truncated answer.

    Given the fault switches of the services are set to {"cross_answers": 2, "truncate": 1, "late_s": 0.05}
    When 10 lookups are sent at the same time to host h1
    Then every outcome is answered
    And every answer belongs to its request
    And each truncated or crossed answer was requested again

  Scenario: A late answer is not returned to a later request
    Guards against a late answer that is returned to the next caller.

    Given the fault switches of the services are set to {"late_s": 1.0}
    When a lookup is sent to host h1 with a deadline of 400 ms
    Then the last outcome is failed
    When the fault switches of the services are set to {"late_s": null}
    And the recorded outcomes are cleared
    And 5 lookups are sent at the same time to host h1
    Then every outcome is answered
    And every answer belongs to its request

  Scenario: A repeated identifier gets its first outcome, also from another host
    Guards against a second execution and against outcomes that only the host
    that has them can return.

    When a lookup is sent to host h1
    And the same request is sent again to host h1
    And its outcome is requested from host h2
    Then every outcome is answered
    And every answer belongs to its request
    And 1 request was started
    When its identifier is sent with another body to host h1
    Then the last outcome is not_run
    And 1 request was started
