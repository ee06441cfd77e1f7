Feature: Changes of the configuration
  An accepted revision must come into force at every host, and no host may go
  back to an older one. Guards against hosts that serve under an old revision
  after an outage, a partition or a pause, and against wrong responses to
  operators.

  Background: Declarations
    Given the declarations one
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 2000}
      """
    And the declarations two
      """
      classes:
        - {kind: interactive, name: search, pool: account-app, deadline_ms: 2000}
      """

  Scenario: One of two concurrent changes is accepted despite lost responses
    Guards against two accepted changes with the same revision, and against a
    lost response that is taken for a conflict or for a success.
    Given a ready site with 3 hosts in 3 data centres
    Then in 5 pairs of concurrent changes at hosts h1 and h2 one is accepted

  Scenario: A host that starts in a store outage waits for a majority
    Guards against a starting daemon that serves without declarations or under
    an older revision, and against a change that is held only in memory.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When the platform has the faults {"store_down": true}
    And host h2 is paused
    And host h3 is killed and started again
    Then a lookup at host h3 is never answered while host h2 is paused
    When host h2 goes on
    Then host h3 becomes ready with revision 1
    And a lookup at host h3 is answered
    And applying the declarations two at host h1 is refused with 503
    And every host has revision 1

  Scenario: A starting host without a membership list is not ready
    Guards against a daemon that serves without knowing which endpoints are
    leaving.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When the platform has the faults {"members_down": true}
    And host h3 is killed and started again
    Then host h3 is up and not ready because membership list was never read
    And a lookup at host h3 is refused as not run
    When the platform has the faults {"members_down": null}
    Then host h3 becomes ready with revision 1

  Scenario: A host in a data centre that is cut off runs no requests
    Guards against a daemon that keeps serving under an old revision because
    no other host can reach it, and against a change without a majority.
    Given a ready site with 3 hosts in 3 data centres behind a relay
    And the declarations one are applied at host h1 as revision 1
    When data centre casa-ain is cut off
    Then host h1 becomes unconfirmed
    And a lookup at host h1 is refused as not run
    And applying the declarations two at host h1 is refused with 503
    When the declarations two are applied at host h2 as revision 2
    Then a lookup at host h1 is refused as not run
    When all data centres are connected
    Then host h1 becomes ready with revision 2

  Scenario: A host paused during a change runs nothing under the old revision
    Guards against a daemon that cannot read the table and continues under the
    old revision after a pause, also when messages from other hosts waited in
    its sockets.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When the platform has the faults {"down_for": ["127.1"]}
    And host h1 is paused
    And the declarations two are applied at host h2 as revision 2
    And 4 s pass
    And 20 lookups are sent to host h1 without waiting
    And host h1 goes on
    Then all 20 lookups are refused as not run
    And host h1 becomes ready with revision 2

  Scenario: News that waited in the sockets of a paused host confirm nothing
    Guards against a daemon that takes gossip sent before its pause as proof
    that the other hosts are still reachable.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When the platform has the faults {"down_for": ["127.1"]}
    And host h1 is paused
    And 4 s pass
    And host h2 is paused
    And host h3 is paused
    And 20 lookups are sent to host h1 without waiting
    And host h1 goes on
    Then all 20 lookups are refused as not run

  Scenario: The response matches the table when the store fails during a write
    Guards against a lost response that is taken for a success.
    Given a ready site with 3 hosts in 3 data centres
    When the declarations one are applied at host h1 while the store fails
    Then the response to the operator matches the table

  Scenario: A change is refused and not written without a majority
    Guards against a revision that the hosts which still serve never receive.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When host h2 is paused
    And host h3 is paused
    Then host h1 receives gossip from no majority
    And applying the declarations two at host h1 is refused with 503
    And the table holds revision 1

  Scenario: A change is confirmed to the operator once a majority has it
    Guards against a response before a majority has the revision: a store
    outage right after it would keep the revision from the other hosts.
    Given a ready site with 3 hosts in 3 data centres
    When the declarations one are applied at host h1 as revision 1
    And the platform has the faults {"store_down": true}
    Then at least 2 of 3 hosts have revision 1 right after the response

  Scenario: An invalid document is refused with all its errors and not applied
    Guards against declarations that are partly applied or that fail only
    after they came into force.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations bad
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: -1, on_time_share: 1.5}
        - {kind: interactiv, name: other}
        - {kind: background, name: lookup, pool: account-app, complete_within_ms: 10, colour: red}
      """
    Then applying the declarations bad at host h1 is refused with these errors
      | path                                |
      | document.classes[0].deadline_ms     |
      | document.classes[0].on_time_share   |
      | document.classes[1].kind            |
      | document.classes[2].colour          |
      | document.classes                    |
    And every host has revision 0

  Scenario: Commands report results, errors and exit statuses to operators
    Guards against commands that change something when they should not, and
    against an error that hides another one.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    Then the commands give these results
      | arguments                                          | status | output                  |
      | classes validate one.yaml                          | 0      | no errors               |
      | classes validate broken.yaml                       | 2      | deadline_ms             |
      | classes diff two.yaml                              | 0      | +  name: search         |
      | classes apply two.yaml --expected_revision=7       | 1      | revision 1 is current   |
      | classes apply two.yaml --expected_revision=1       | 0      | revision 2 is in force  |
      | classes show                                       | 0      | search                  |
      | status                                             | 0      | deadline_ms=2000        |
      | status --json                                      | 0      | "revision": 2           |
      | status --key=wrong                                 | 1      | status 401              |
      | settings explain                                   | 0      | timing.gossip_period_ms |
      | serve broken.yaml                                  | 2      | document.listen_address |
      | serve broken.yaml                                  | 2      | document.classes        |
      | explain nothing                                    | 1      | no decision             |
