Feature: Crashes are blamed on contents once
  Guards against refusing honest contents: several requests of one content in
  flight at one crash, and broken connections to an endpoint that runs on.

  Scenario: One crash with four requests of one content counts once
    Given 4 requests of one content in flight at an endpoint
    When the endpoint crashes
    Then the content may run isolated

  Scenario: A broken connection to an endpoint that runs on is forgiven
    Given 4 requests of one content in flight at an endpoint
    When the endpoint breaks its connections and runs on
    Then the content may run normally

  Scenario: A second crash of the same content rejects it
    Given 1 requests of one content in flight at an endpoint
    When the endpoint crashes
    And the same content crashes it again
    Then the content is rejected

  Scenario: A partition that breaks connections to two endpoints is one doubt
    Given 4 requests of one content in flight at an endpoint
    When the endpoint breaks its connections and cannot be reached
    And the same happens to the content at a second endpoint
    Then the content may run isolated
