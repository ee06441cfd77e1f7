Feature: Engines load the versions that trainers name
  Daemons on virtual time, with a store and engines in memory. The daemon that
  holds the orders lease orders engines to load versions; each order carries
  the fencing token of its holder. The last three scenarios call the planning
  of loads directly.

  Scenario: All engines load a named version, at most two at the same time
    Guards against engines that load all at once or never.
    Given a platform with 6 engines and daemons a, b and c
    When version 2 is named
    And 5 s go by while engines announce their versions
    Then every engine holds version 2 after 1 order each
    And at most 2 engines were loading at once

  Scenario: A new holder gives orders only after the old lease has expired
    Guards against two holders that give orders within the lease time.
    Given a platform with 6 engines and daemons a, b and c
    When 2 s go by while engines announce their versions
    And version 2 is named
    And 0.3 s go by while engines announce their versions
    And the holder of the orders lease is killed
    And 12 s go by while engines announce their versions
    Then every engine holds version 2 after 1 order each
    And new holders give orders at least 3 s later with higher fencing tokens

  Scenario: A holder that is stopped as planned hands the orders lease over
    Guards against orders that are delayed although the former holder has
    announced that it gives no more.
    Given a platform with 6 engines and daemons a, b and c
    When 2 s go by while engines announce their versions
    And version 2 is named
    And 0.3 s go by while engines announce their versions
    And the holder of the orders lease is asked to stop
    And 4.2 s go by while engines announce their versions
    Then another daemon holds the orders lease
    When 3 s go by while engines announce their versions
    Then every engine holds version 2 after 1 order each
    And new holders give orders at least 3 s later with higher fencing tokens

  Scenario: A holder that was suspended may give no orders
    Guards against a holder that resumes and does not notice that its lease has
    expired.
    Given a platform with 6 engines and daemons a, b and c
    When 2 s go by while engines announce their versions
    And the holder of the orders lease is suspended for 10 s
    Then it may not give orders

  Scenario: An order that is carried out late does not undo a newer one
    Guards against an engine that goes back to an old version.
    Given a platform with 2 engines and daemons a, b and c
    And engine 0 does not answer orders and carries them out after 5 s
    When version 2 is named
    And 3 s go by while engines announce their versions
    And engine 0 answers orders again
    And version 3 is named
    And 8 s go by while engines announce their versions
    Then every engine holds version 3 in the end

  Scenario: A renewal without a response does not extend the orders lease
    Guards against a lease that is extended by a renewal whose response was
    lost.
    Given a platform with 2 engines and daemons a, b and c
    When 2 s go by while engines announce their versions
    And the responses to all lease renewals are lost for 6 s
    Then orders could be given for at most 2 s after the last renewal

  Scenario: Each engine loads the versions of one of two models
    Guards against engines that load every version of every trainer: the
    pattern of several jobs open for one pool while part of it is loading.
    Given 5 engines that hold version 1 of two models
    When each model gets 8 more versions, each loaded before the next
    Then at most 20 loads of each model were ordered for its 8 versions
    And every engine was ordered to load versions of one model only

  Scenario: Other engines load a model whose engines are lost
    Guards against a model to which no engine is reassigned.
    Given 4 engines that hold version 1 of two models
    When each model gets 3 more versions, each loaded before the next
    And every engine that is assigned to the first model is removed
    And each model gets 1 more versions, each loaded before the next
    Then at least one engine holds the newest version of each model

  Scenario: Half of the engines of a model stay idle while the others load
    Guards against long items of a step submitted just after its version was
    named: they would wait for a load and end too late, although idle engines
    hold a version that is new enough.
    Given 12 idle engines that hold version 1 of three models
    When version 2 of the first model is named
    Then 2 of its 4 engines are ordered to load
    When the ordered engines are loading
    Then none of its engines is ordered to load
    When the ordered engines have loaded
    Then 2 of its 4 engines are ordered to load
