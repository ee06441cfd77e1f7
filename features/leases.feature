Feature: Work under a lease is done by one daemon at a time
  Runs the lease keepers of two daemons with a table in memory and a simulated
  clock.

  Scenario: The holder stops acting before another daemon takes over
    Guards against two daemons that act under one lease at the same time.
    Given daemons a and b that request a lease of 3 s named claims
    When daemon a renews or acquires its leases
    Then daemon a may act with fencing token 1
    When 2.0 s pass
    And daemon b renews or acquires its leases
    Then daemon a may act with fencing token 1
    When 0.2 s pass
    Then daemon a may not act
    When 2.9 s pass
    And daemon b renews or acquires its leases
    Then daemon b may act with fencing token 2
    When daemon a renews or acquires its leases
    Then daemon a may not act

  Scenario: Only the holder of the lease prunes claims, and only old ones
    Guards against a table that grows without limit, and against claims that
    are deleted too early.
    Given daemons a and b that request a lease of 3 s named claims
    And claims that are 1, 23 and 25 hours old
    When daemon a renews or acquires its leases
    And daemon b prunes the claims
    And daemon a prunes the claims
    Then claims that are 1, 23 hours old are left

  Scenario: A holder whose host was suspended may not act
    Guards against a daemon that resumes and still holds a lease that others
    have taken over meanwhile, because its clock stood still.
    Given a daemon that requests a lease of 3 s and reads the clock of its host
    When it acquires the lease
    And its host is suspended for 10 s
    Then it no longer holds the lease
