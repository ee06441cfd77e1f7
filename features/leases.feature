Feature: Work under a lease is done by one daemon at a time
  With a table in memory and a clock that the scenario moves.

  Scenario: The holder stops acting before another daemon takes over
    Guards against two holders that act at once.
    Given daemons a and b that want the lease claims of 3 s
    When daemon a looks after its leases
    Then daemon a may act with fence 1
    When 2.0 s pass
    And daemon b looks after its leases
    Then daemon a may act with fence 1
    When 0.2 s pass
    Then daemon a may not act
    When 2.9 s pass
    And daemon b looks after its leases
    Then daemon b may act with fence 2
    When daemon a looks after its leases
    Then daemon a may not act

  Scenario: Only old claims are pruned, and only by the holder
    Guards against claims that grow without end, or are forgotten too early.
    Given daemons a and b that want the lease claims of 3 s
    And claims that are 1, 23 and 25 hours old
    When daemon a looks after its leases
    And daemon b prunes the claims
    And daemon a prunes the claims
    Then claims that are 1, 23 hours old are left
