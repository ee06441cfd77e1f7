Feature: A leaving endpoint receives no new work
  Tests how the state `leaving` in the membership list reaches every host, also
  a host whose list lags, and how changes of the list take effect.

  Background: Declarations
    Given the declarations one
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 5000}
      """

  Scenario: Hosts with an old list learn of a leaving endpoint
    Guards against a daemon that sends work to a leaving endpoint because its
    list lags and it cannot read the table. Also guards against a state that is
    sent only to the hosts that are up when it changes.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    And the membership list is 20 s old
    When the platform has the faults {"members_lag_s": {"127.1": 20, "127.3": 20}, "store_down": true}
    And endpoint account-app-1 is listed as leaving
    Then every host marks account-app-1 as leaving
    And none of 60 lookups at all hosts reaches account-app-1
    When host h3 is killed and started again
    And host h3 is ready again
    Then every host marks account-app-1 as leaving
    And none of 30 lookups at all hosts reaches account-app-1
    And the list of 20 s ago does not show the state leaving yet

  Scenario: An endpoint stays leaving until its address changes
    Guards against a state that is reset by an older list, which a host may
    read after a newer one.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When endpoint account-app-1 is listed as leaving
    And every host marks account-app-1 as leaving
    And endpoint account-app-1 is not listed
    And every host knows 1 endpoint
    And endpoint account-app-1 is listed as live
    Then every host knows 2 endpoints
    And every host marks account-app-1 as leaving
    And none of 30 lookups at all hosts reaches account-app-1
    When endpoint account-app-1 is listed as live at a new address
    Then some of 60 lookups at all hosts reach account-app-1

  Scenario: An endpoint that is no longer listed receives no work
    Guards against hosts that keep an endpoint after it was removed from the
    list.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When endpoint account-app-1 is not listed
    Then every host knows 1 endpoint
    And none of 30 lookups at all hosts reaches account-app-1

  Scenario: Hosts share the load reports that one of them polls
    Guards against hosts that each have to poll every endpoint: their number
    of polls would grow with the number of endpoints.
    Given a ready site with 3 hosts in 3 data centres where only host h1 polls
    Then every host has a fresh report of every endpoint
