Feature: A caller gets no answer of another request
  A site in one process, whose services cross, truncate and delay answers.

  Background:
    Given a site in one process with 2 hosts and 2 services
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 8000}
      """

  Scenario: Services cross, truncate and delay answers
    Guards against a caller that gets the answer of another request.

    Given the services switch {"cross_answers": 1, "truncate": 1, "late_s": 0.05}
    When 10 lookups are sent at the same time to host h1
    Then every outcome is answered
    And every answer belongs to its request

  Scenario: A late answer after the deadline
    Guards against a late answer that reaches the next caller.

    Given the services switch {"late_s": 1.0}
    When a lookup is sent to host h1 with 400 ms left
    Then the last outcome is failed
    When the services switch {"late_s": null}
    And the outcomes are forgotten
    And 5 lookups are sent at the same time to host h1
    Then every outcome is answered
    And every answer belongs to its request

  Scenario: The same identifier twice and at another host
    Guards against work that is done twice and against answers that are only
    found at the host that has them.

    When a lookup is sent to host h1
    And the same request is sent again to host h1
    And its outcome is asked of host h2
    Then every outcome is answered
    And every answer belongs to its request
    And 1 request was started
    When its identifier is sent with another body to host h1
    Then the last outcome is not_run
    And 1 request was started
