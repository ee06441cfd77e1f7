Feature: Each crash of an endpoint counts once against a content
  Guards against refusals of harmless contents when several requests of one
  content are in flight at a crash, or when connections break to an endpoint
  that keeps running. After the first crash a content runs isolated, after the
  second it is rejected.

  Scenario: A crash with four requests of one content in flight counts once
    Given 4 requests of one content in flight at an endpoint
    When the endpoint crashes
    Then the content may run isolated

  Scenario: A broken connection to a running endpoint does not count
    Given 4 requests of one content in flight at an endpoint
    When the endpoint breaks its connections and keeps running
    Then the content may run normally

  Scenario: A second crash of the same content rejects it
    Given 1 requests of one content in flight at an endpoint
    When the endpoint crashes
    And the same content is run again and crashes the endpoint
    Then the content is rejected

  Scenario: Two endpoints that a partition makes unreachable count as one crash
    Given 4 requests of one content in flight at an endpoint
    When the endpoint breaks its connections and cannot be reached
    And the content is run at a second endpoint with the same result
    Then the content may run isolated

  Scenario: Two contents that share two crashes run isolated until one is cleared
    Given a content and another one that were in flight at 2 crashes
    Then both may run isolated
    When the other content runs to its end
    Then the content is rejected and the other one may run

  Scenario: A content in flight at the crashes of two others runs isolated
    Given a content in flight at a crash of each of two other contents
    And a second crash of each of the two others
    Then the content may run isolated and the two others are rejected

  Scenario: A third crash rejects a content that shares its crashes
    Given a content and another one that were in flight at 2 crashes
    When the content crashes a third endpoint alone
    Then the content is rejected for good

  Scenario: Rejected contents are shared although many others were in flight
    Given a content that has crashed 2 endpoints
    When 500 other contents were in flight at later crashes
    Then the shared counts of one host get the content rejected at another
