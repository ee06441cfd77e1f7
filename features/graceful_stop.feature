Feature: A planned shutdown interrupts no request in flight

  Background: Declarations
    Given the declarations one
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 20000}
        - {kind: trainer, name: rollouts, pool: advisor-llm, model: advisor-llm, step_within_ms: 60000, max_staleness_versions: 2}
      """

  Scenario: SIGTERM during streams and a store outage
    Guards against a shutdown that cuts streams, refuses callers that still
    hold the address, waits for the store, or starts over at a second signal.
    Given a ready site with 3 hosts, 1 engine and 2 services
    And the declarations one are applied at host h1 as revision 1
    When 6 streams of 1000 tokens run through host h1
    And the platform has the faults {"store_down": true}
    And host h1 receives SIGTERM
    Then host h1 is draining and healthy
    And hosts h2 and h3 do not name host h1 any more
    And 10 lookups at host h1 are answered while it is still named by caches
    When host h1 receives SIGTERM
    Then host h1 accepts no connection while its streams go on
    And all 6 streams end with 1000 tokens
    And host h1 ends with status 0

  Scenario: An operator drains a host while callers are attached
    Guards against waits that are cut because their request came on another
    connection, and against idle connections that hold the shutdown up.
    Given a ready site with 3 hosts, 1 engine and 2 services
    And the declarations one are applied at host h1 as revision 1
    When 3 streams of 1000 tokens run through host h1
    And 3 callers are attached to the requests of the streams
    And 5 idle connections to host h1 are open
    And an operator drains host h1 with the program
    Then host h1 accepts no connection while its streams go on
    And all 3 streams end with 1000 tokens
    And all 3 attached callers get 1000 tokens
    And host h1 ends with status 0
