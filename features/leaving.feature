Feature: A leaving endpoint receives no new work

  Background: Declarations
    Given the declarations one
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 5000}
      """

  Scenario: Most hosts see an old list while the store is down
    Guards against a daemon that sends work to a leaving endpoint because its
    list lags, when the table cannot tell it either; also against a mark that
    is told only to the hosts that are up at that time.
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
    And the list of 20 s ago does not tell the mark yet

  Scenario: A mark is not taken back while the address is listed
    Guards against lists of different age that are read in turn.
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

  Scenario: An endpoint vanishes from the list
    Guards against work for an endpoint that is not listed any more.
    Given a ready site with 3 hosts in 3 data centres
    And the declarations one are applied at host h1 as revision 1
    When endpoint account-app-1 is not listed
    Then every host knows 1 endpoint
    And none of 30 lookups at all hosts reaches account-app-1

  Scenario: Hosts share load reports
    Guards against reports that every host must poll from every endpoint,
    which would grow with the number of endpoints.
    Given a ready site with 3 hosts in 3 data centres where only host h1 polls
    Then every host has a fresh report of every endpoint
