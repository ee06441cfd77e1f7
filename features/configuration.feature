Feature: An accepted configuration is in force everywhere and never reverts

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

  Scenario: Racing operators while store answers are lost
    Guards against two accepted changes of the same revision, and against a
    lost answer that is taken for a conflict or for a success.
    Given a ready site with 3 hosts in 3 data centres
    Then in 5 races at hosts h1 and h2 with lost answers one operator wins

  Scenario: A host that starts during a store outage waits for a majority
    Guards against a starting daemon that serves without declarations or under
    an older revision, and against a change that only memory holds.
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
    Guards against a daemon that serves without knowing leaving endpoints.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When the platform has the faults {"members_down": true}
    And host h3 is killed and started again
    Then host h3 is up and not ready because membership list was never read
    And a lookup at host h3 is refused as not run
    When the platform has the faults {"members_down": null}
    Then host h3 becomes ready with revision 1

  Scenario: A data centre is cut off
    Guards against a daemon that serves an old revision for ever because
    nobody can tell it otherwise, and against a change without a majority.
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

  Scenario: A host is paused while a revision is accepted
    Guards against a daemon that goes on under the old revision after a
    pause, also on news that waited in its sockets, while it cannot read the
    table.
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
    Guards against a daemon that takes gossip of before its pause for signs of
    life of hosts that are not there any more.
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

  Scenario: A write is cut off before it takes effect
    Guards against a lost answer that is taken for a success.
    Given a ready site with 3 hosts in 3 data centres
    When the declarations one are applied at host h1 while the store fails
    Then the operator is told what the table holds

  Scenario: A change without a majority is not written
    Guards against a revision that the confirmed daemons never hear of.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When host h2 is paused
    And host h3 is paused
    Then host h1 hears no majority
    And applying the declarations two at host h1 is refused with 503
    And the table holds revision 1

  Scenario: The operator is answered after the push
    Guards against an answer before a majority holds the revision, which a
    store outage right after it would keep from the other hosts.
    Given a ready site with 3 hosts in 3 data centres
    When the declarations one are applied at host h1 as revision 1
    And the platform has the faults {"store_down": true}
    Then 2 of 3 hosts told revision 1 at the answer

  Scenario: A document is checked before it is applied
    Guards against declarations that are partly applied or fail later.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations bad
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: -1, on_time_share: 1.5}
        - {kind: interactiv, name: other}
        - {kind: background, name: lookup, pool: account-app, complete_within_ms: 10, colour: red}
      """
    Then applying the declarations bad at host h1 names these errors
      | path                                |
      | document.classes[0].deadline_ms     |
      | document.classes[0].on_time_share   |
      | document.classes[1].kind            |
      | document.classes[2].colour          |
      | document.classes                    |
    And every host has revision 0

  Scenario: Operators use the programs
    Guards against programs that change something when they should not, and
    against errors that hide each other.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    Then the programs give these answers
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
