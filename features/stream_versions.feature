Feature: A stream goes on only at the software version that began it
  Endpoints of two software versions serve side by side, and do not check who
  resumes a stream. Daemons on virtual time, with services and engines in memory.

  Scenario Outline: A stream that breaks off goes on at its software version
    Guards against an answer that holds events of two software versions.
    Given a platform with <services> services and 2 daemons
    And the shop route serves streams that may be resumed
    And services <numbers> run software v2
    And each stream breaks off after 3 events and may be resumed
    When 20 streams are requested from daemon d0 at the same time
    Then every stream has the events 1 to 6, each once
    And no stream has events of two software versions

    Examples:
      | services | numbers                |
      | 4        | 2 and 3                |
      | 12       | 0, 1, 2, 3, 4, 5 and 6 |

  Scenario: A stream goes on at the endpoint that broke it off if no other has its version
    Guards against streams that are lost as only one endpoint suits them.
    Given a platform with 4 services and 2 daemons
    And the shop route serves streams that may be resumed
    And services 1, 2 and 3 run software v2
    And each stream breaks off after 3 events and may be resumed
    When 4 streams are requested from daemon d0 at the same time
    Then every stream has the events 1 to 6, each once
    And no stream has events of two software versions
