Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A host that becomes ready names peers as entries
    Guards against daemons that never hear each other and against an entry
    list with hosts that are not listed.
    Given a running site with 3 hosts, 1 engine and 2 services
    When every host is ready
    Then host h2 names 3 entries
