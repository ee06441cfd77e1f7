Feature: Items leave an engine before it is reclaimed
  Two engines and three daemons on virtual time. An engine that is reclaimed
  says in its row when it leaves, and ends what still runs then.

  Scenario: Items that would not end in time go on at another engine
    Guards against runs that the platform cuts, of which each counts as a crash
    of its engine and loses the time until it is noticed.
    Given a platform with 2 engines and daemons a, b and c
    And items of 4 s
    When daemon a accepts job j with 4 items
    And engine 0 says after 1 s that it leaves in 2.5 s
    Then nothing runs at engine 0 when it leaves
    And the 4 items go on at engine 1 where they stopped

  Scenario: Items that end in time stay
    Guards against moves that only cost a connection.
    Given a platform with 2 engines and daemons a, b and c
    And items of 2 s
    When daemon a accepts job j with 4 items
    And engine 0 says after 1 s that it leaves in 2.5 s
    Then nothing runs at engine 0 when it leaves
    And the 4 items run once
