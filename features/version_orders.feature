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
    And new holders order an engine at least 3 s after the former ones, with higher fencing tokens

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
    And new holders order an engine at least 3 s after the former ones, with higher fencing tokens

  Scenario: Only engines that the former holder has ordered wait after a stop
    Guards against steps without an engine that holds a usable version: the
    pattern of daemons that are stopped and started in turn while versions are
    named, where no engine could be ordered after each stop of a holder.
    Given a platform with 6 engines and daemons a, b and c
    When 2 s go by while engines announce their versions
    And version 2 is named
    And 0.3 s go by while engines announce their versions
    And the holder of the orders lease is asked to stop
    And version 3 is named
    And 12 s go by while engines announce their versions
    Then every engine holds version 3 in the end
    And new holders order an engine at least 3 s after the former ones, with higher fencing tokens
    And an engine was ordered by both holders and another within 2 s

  Scenario: A lease that was lost and taken again by its holder stays held
    Guards against a lease that its former holder acquires again and then loses
    each few seconds because the next renewal came after the lease time.
    Given a platform with 2 engines and daemons a, b, c, d, e, f, g and h
    When 2 s go by while engines announce their versions
    And the store is away for 4 s
    And 3 s go by while engines announce their versions
    Then one daemon holds the orders lease all the time for the next 6 s

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

  Scenario: Halves of the engines load the versions of two models in turn
    Guards against engines that load every version of every trainer, and
    against engines that pause the items of a step to load: the pattern of
    several jobs open for one pool while part of it is loading.
    Given 5 engines that hold version 1 of two models
    When each model gets 8 more versions, each loaded before the next
    Then at most 20 loads of each model were ordered for its 8 versions
    And every engine holds the newest version of each model or the one before

  Scenario: Other engines load a model whose engines are lost
    Guards against a model to which no engine is reassigned.
    Given 4 engines that hold version 1 of two models
    When each model gets 3 more versions, each loaded before the next
    And every engine that holds the newest version of the first model is removed
    And each model gets 1 more versions, each loaded before the next
    Then at least one engine holds the newest version of each model

  Scenario: Half of the engines of a model stay idle while the others load
    Guards against long items of a step submitted just after its version was
    named: they would wait for a load and end too late, although idle engines
    hold a version that is new enough.
    Given 12 idle engines that hold version 1 of three models
    When version 2 of the first model is named
    Then 4 of its 8 engines are ordered to load
    When the ordered engines are loading
    Then none of its engines is ordered to load
    When the ordered engines have loaded
    Then none of its engines is ordered to load
    When no item of the first model has run for 2 s
    Then 4 of its 8 engines are ordered to load

  Scenario: Engines that run a step load after it while the others run the next
    Guards against long items that pause for the load of a version: the pattern
    of two steps in flight, one on each half of a model's engines.
    Given 4 idle engines that hold version 1 of two models
    And engines 0, 1 hold version 2 of the first model and run its items
    And engines 2, 3 hold version 3 of the first model
    When version 4 of the first model is named
    Then none of its engines is ordered to load
    When the items of engine 0 have ended
    Then engine 0 is ordered to load

  Scenario: Busy engines load when new steps could use no engine otherwise
    Guards against a step that finds no engine with a version that it accepts.
    Given 2 idle engines that hold version 1 of two models
    And engines 0, 1 hold version 1 of the first model and run its items
    When version 4 of the first model is named
    Then 1 of its engines is ordered to load

  Scenario: The model with the fewest usable engines loads first
    Guards against two models that need loads at once, of which the first named
    takes all of them.
    Given 6 idle engines that hold version 1 of three models
    And engines 0, 1, 2, 3, 4, 5 hold version 9 of the other models
    When version 2 of the first model and 12 of the others are named
    Then no load of the first model is ordered
