Feature: A planned shutdown interrupts no request in flight
  A draining host removes itself from the entry lists, closes its listener
  and ends once its requests in flight have ended. Guards against a shutdown
  that cuts streams or never ends.

  Background: Declarations
    Given the declarations one
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 20000}
        - {kind: trainer, name: rollouts, pool: advisor-llm, model: advisor-llm, step_within_ms: 60000, max_staleness_versions: 2}
      """

  Scenario: Streams end normally after SIGTERM during a store outage
    Guards against a shutdown that cuts streams, refuses callers that still
    have the address, waits for the store, or starts again at a second signal.
    Given a ready site with 3 hosts, 1 engine and 2 services
    And the declarations one are applied at host h1 as revision 1
    When 6 streams of 1000 tokens run through host h1
    And the platform has the faults {"store_down": true}
    And host h1 receives SIGTERM
    Then host h1 is draining and healthy
    And host h1 refuses a lookup with a deadline of 90 s, behind its drain limit
    And hosts h2 and h3 no longer list host h1 as an entry
    And 10 lookups at host h1 are answered while cached entry lists name it
    When host h1 receives SIGTERM
    Then host h1 accepts no connection while its streams continue
    And all 6 streams end with 1000 tokens
    And host h1 ends with status 0

  Scenario: Attached callers get their answers while an operator drains the host
    Guards against callers that are cut off because the request they wait for
    came on another connection, and against idle connections that delay the
    shutdown.
    Given a ready site with 3 hosts, 1 engine and 2 services
    And the declarations one are applied at host h1 as revision 1
    When 3 streams of 1000 tokens run through host h1
    And 3 callers are attached to the requests of the streams
    And 5 idle connections to host h1 are open
    And an operator drains host h1 with the command line
    Then host h1 accepts no connection while its streams continue
    And all 3 streams end with 1000 tokens
    And all 3 attached callers get 1000 tokens
    And host h1 ends with status 0
