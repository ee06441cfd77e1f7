Feature: One daemon orders the sizes of services
  Three daemons on virtual time with an interface of the platform in memory.
  The service `llm` has 4 engines in one data centre.

  Scenario: What runs at the start is the first target
    Guards against engines that end because a daemon starts with a number of
    its own, and against changes of services without bounds.
    Given daemons that may have 1 to 8 engines
    When the daemons run for 40 s
    Then nothing is ordered
    And the row of the reserved engines has the number 4

  Scenario: Too few engines are ordered up to the minimum
    Guards against an order without a row, which the next holder cannot know.
    Given daemons that may have 6 to 8 engines
    When the daemons run for 10 s
    Then 6 engines are ordered first
    And the row of the reserved engines has the number 6

  Scenario: The next holder repeats an order whose answer was lost
    Guards against an order that a killed holder has not sent, or not proven.
    Given daemons that may have 6 to 8 engines
    And the interface does not answer
    When the daemons run for 6 s
    And the holder is killed
    And the interface answers again
    And the daemons run for 10 s
    Then each order is for 6 engines
    And orders of another holder have a higher fence

  Scenario: Without its row nothing is ordered
    Guards against orders that the next holder does not know of.
    Given daemons that may have 1 to 8 engines
    When the daemons run for 10 s
    And no row of a size can be written
    And the bounds become 6 to 8
    And the daemons run for 20 s
    Then nothing is ordered
    When rows of sizes can be written
    And the daemons run for 10 s
    Then 6 engines are ordered first

  Scenario: The jobs of a trainer let engines be ordered
    Guards against jobs that are counted for no service, or for another one.
    Given daemons that may have 1 to 20 engines
    When a trainer submits 5 jobs of 60 items
    Then more than 4 engines are ordered first

  Scenario: A refused order is sent again after 10 s
    Guards against orders each second where no engines are available.
    Given daemons that may have 6 to 8 engines
    And no engines are available
    When the daemons run for 25 s
    Then the orders are 10 to 12 s apart
    And the row of the reserved engines has the number 4

  Scenario: A throttled order is sent again
    Guards against an order that is dropped at the limit of the rate.
    Given daemons that may have 6 to 8 engines
    And the interface takes no calls
    When the daemons run for 8 s
    And the interface answers again
    And the daemons run for 3 s
    Then 6 engines are ordered first

  Scenario: Lost engines are ordered again at once
    Guards against a service that stays too small after a crash.
    Given daemons that may have 1 to 8 engines
    When the daemons run for 10 s
    And an engine is lost
    And the daemons run for 3 s
    Then 4 engines are ordered first
