Feature: A request content that crashes its endpoints is refused
  A content is the class and the body of a request. The services of the site
  crash when they run the content named poison.

  Scenario: A poison lookup is refused after it has crashed at most 2 services
    Guards against one content that crashes an endpoint with each attempt, and
    against refusals of other contents that were in flight at those endpoints.

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
