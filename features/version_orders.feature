Feature: Engines follow the versions that trainers name
  Daemons over a store and engines in memory, on virtual time.

  Scenario: All engines load a named version, some at a time
    Guards against engines that load all at once or never.
    Given a platform with 6 engines and daemons a, b and c
    When version 2 is named
    And 5 s go by with announcements
    Then every engine holds version 2 after 1 order each
    And at most 2 engines were loading at once

  Scenario: Orders come from one holder at a time
    Guards against two holders that give orders within the lease time.
    Given a platform with 6 engines and daemons a, b and c
    When 2 s go by with announcements
    And version 2 is named
    And 0.3 s go by with announcements
    And the holder of the orders is killed
    And 12 s go by with announcements
    Then every engine holds version 2 after 1 order each
    And orders of different holders are 3 s apart and their fences rise

  Scenario: The holder is stopped as planned
    Guards against orders that wait although the former holder has said that
    it acts no longer.
    Given a platform with 6 engines and daemons a, b and c
    When 2 s go by with announcements
    And version 2 is named
    And 0.3 s go by with announcements
    And the holder of the orders is asked to stop
    And 4.2 s go by with announcements
    Then another daemon holds the lease
    When 3 s go by with announcements
    Then every engine holds version 2 after 1 order each
    And orders of different holders are 3 s apart and their fences rise

  Scenario: A holder that was suspended gives no order
    Guards against a holder that wakes up and does not know that its lease
    has lapsed.
    Given a platform with 6 engines and daemons a, b and c
    When 2 s go by with announcements
    And the holder of the orders is suspended for 10 s
    Then it may not give orders

  Scenario: An order is carried out late, after newer ones
    Guards against an engine that goes back to an old version.
    Given a platform with 2 engines and daemons a, b and c
    And engine 0 answers no order and carries it out after 5 s
    When version 2 is named
    And 3 s go by with announcements
    And engine 0 answers orders again
    And version 3 is named
    And 8 s go by with announcements
    Then every engine holds version 3 and never went back

  Scenario: The answer of a renewal is lost for good
    Guards against a lease that is extended by a write of the past.
    Given a platform with 2 engines and daemons a, b and c
    When 2 s go by with announcements
    And the answers of all renewals are lost for 6 s
    Then orders could be given for at most 2 s after the last renewal

  Scenario: Two trainers share the engines
    Guards against engines that load every version of every trainer: the
    pattern of several jobs open for one pool while part of it is loading.
    Given 5 engines that hold version 1 of two models
    When each model gets 8 more versions, each loaded before the next
    Then at most 20 loads of each model were ordered for its 8 versions
    And every engine followed one model all the time

  Scenario: An engine is lost and another one follows its model
    Guards against a model that no engine is moved for.
    Given 4 engines that hold version 1 of two models
    When each model gets 3 more versions, each loaded before the next
    And every engine of the first model is lost
    And each model gets 1 more versions, each loaded before the next
    Then both models are held in their newest version somewhere

  Scenario: A step comes just after its version was named
    Guards against long items that wait for a load, and so end too late,
    although engines with a version that will do were idle.
    Given 12 idle engines that hold version 1 of three models
    When version 2 of the first model is named
    Then 2 of its 4 engines are ordered to load
    When these are loading
    Then none of its engines is ordered to load
    When these have loaded
    Then 2 of its 4 engines are ordered to load
