Feature: A host that is cut from all endpoints keeps no duty that needs them
  Daemons on virtual time, with a store, engines and services in memory. The ways of
  some daemons to all endpoints are lost, those to the store are not.

  Scenario: The holder of the orders lease gives it back while it is cut off
    Guards against versions that nobody loads, as the store still hears the holder.
    Given a platform with 4 engines and daemons a, b and c
    When the holder of the orders lease is cut from all endpoints
    And 2 s go by
    Then a daemon that is not cut off holds the orders lease
    When version 2 is named
    And 6 s go by while engines announce their versions
    Then all engines hold version 2, ordered by one daemon

  Scenario: The holder keeps the orders lease if all daemons are cut off
    Guards against a lease that goes round.
    Given a platform with 4 engines and daemons a, b and c
    When all daemons are cut from all endpoints
    And 1 s go by
    Then the same daemon holds the orders lease for the next 6 s

  Scenario: A host that is back may hold the lease again
    Guards against a daemon that is left out for good.
    Given a platform with 4 engines and daemons a, b and c
    When the holder of the orders lease is cut from all endpoints
    And 2 s go by
    And its ways are restored
    And 3 s go by
    And the other daemons are killed
    And 6 s go by
    Then the daemon that was cut off holds the orders lease

  Scenario: Lookups leave out hosts that are cut off while others are not
    Guards against callers that are sent to hosts with a detour.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a is cut from all endpoints
    And 1 s go by
    Then every daemon names b and c to callers
    When all daemons are cut from all endpoints
    And 3 s go by
    Then every daemon names a, b and c to callers

  Scenario: Other hosts check their ways when one says that it is cut off
    Guards against a host without traffic that relays calls nowhere.
    Given a platform with 4 engines and daemons a, b and c
    And daemon b has lost its ways and does not know it
    When daemon a is cut from all endpoints
    And 2 s go by
    Then daemon b knows that it is cut off
    And daemon c does not take itself to be cut off

  Scenario: A host that is cut off counts no crash of an endpoint
    Guards against contents that are refused everywhere, as the connections of one
    host broke.
    Given a platform with 4 engines and daemons a, b and c
    When daemon a is cut from all endpoints
    And 1 s go by
    And the connections of content x break at daemon a at all services, which refuse it new ones
    And 1 s go by
    Then no daemon suspects content x

  Scenario: Two endpoints that crash do not make a host cut off
    Guards against a detour, and a lease that is given back, at each crash.
    Given a platform with 4 engines and daemons a, b and c
    When the ways of daemon a to 2 services fail and the others accept connections
    And 1 s go by
    Then daemon a does not take itself to be cut off

  Scenario: Endpoints that crash again and again do not make a host flap
    Guards against calls that are ended, and rows that are written, at each crash.
    Given a platform with 4 engines and daemons a, b and c
    When the ways of daemon a to 2 services fail 50 times within 5 s
    Then daemon a has not taken itself to be cut off
    And it has tried at most 18 endpoints
