Feature: The capacity page is made from the report of a sweep
  Reads a report that the scenario writes, in the format of the users' bench.

  Scenario: The figures of a report stand on the page with their verdicts
    Guards against a page whose tables are edited by hand.
    Given a report of a sweep at 10, 30 and 100 hosts
    When the capacity page is written from it
    Then the page has the row "| served | 0.966 | 0.949 | 0.753 |"
    And the page has the row "| daemon: processor % | 5.1 / 18.2 | 4.8 / 21.1 | 4.3 / 34.6 | 0.28 | 81.8 | over 51.6: the smallest host has 0.516 of a core |"
    And the page has the row "| daemon: memory MB | 50.1 / 60 | 45.4 / 62.1 | 40.4 / 62.2 | -0.04 | 62.2 | within 64: budget for control |"
    And the page has the row "| config acked, ms | 36 / 36 | 35 / 36 | 56 / 56 | 0.05 | 65.3 | - |"

  Scenario Outline: A report that cannot be read is refused with a reason
    Guards against a page from a cut report, or from one of another version.
    Given a report of a sweep at 10, 30 and 100 hosts
    When <change> and the capacity page is written from it
    Then the program ends with status 2 and says "<reason>"
    And no page was written

    Examples:
      | change | reason |
      | the report is empty | has no table of figures |
      | a day is missing | 2 days for 3 sizes |
      | a figure of a size is missing | 2 figures for 3 sizes |
      | the report is not text | --sweep |
