Feature: A content that crashes its endpoints is not run for long

  Scenario: A poison lookup is sent again and again to two hosts
    Guards against one content that takes down an endpoint with each attempt
    as well as against refusals of contents that were in flight beside it.

    Given a running site with 2 hosts, 0 engine and 4 services
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 8000}
      """
    And the service switches {"crash_on": "poison", "late_s": 1.0}
    When a poison lookup is sent 2 times to hosts h1, h2 beside 8 others
    Then the last poison lookup is refused as not run
    And at most 2 services have crashed
    And the other lookups can be answered
