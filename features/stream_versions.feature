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

  Scenario: A caller resumes streams at another host after theirs was killed
    Guards against a host that takes the rest of a stream for a new one, and
    sends it to any software version.
    Given a platform with 4 services and 8 daemons
    And the shop route serves streams that may be resumed
    And services 2 and 3 run software v2
    And the services have time for an event each 0.3 s
    When 12 streams begin at daemon d0, which is killed after 1 s
    And their callers resume them at the other daemons
    Then every caller has the events 1 to 6, each once
    And no caller has events of two software versions

  Scenario: A second software version appears between the first event and the resumption
    Guards against origins that no peer knows since one version served at first.
    Given a platform with 4 services and 8 daemons
    And the shop route serves streams that may be resumed
    And the services have time for an event each 1 s
    When 6 streams begin at daemon d0, which is killed after 3.5 s, and services 2 and 3 change to software v2 after 2.5 s
    And their callers resume them at the other daemons
    Then every caller has the events 1 to 6, each once
    And no caller has events of two software versions

  Scenario: A stream of unknown origin is refused while two versions serve
    Guards against a guess, and against a request that waits for its deadline.
    Given a platform with 4 services and 3 daemons
    And the shop route serves streams that may be resumed
    And services 2 and 3 run software v2
    When the stream of an unknown attempt is resumed 4 times at daemon d1
    Then each is refused within 0.4 s and no service runs it

  Scenario: A stream of unknown origin goes on if only one version serves
    Guards against streams that are refused without a reason.
    Given a platform with 4 services and 3 daemons
    And the shop route serves streams that may be resumed
    When the stream of an unknown attempt is resumed 4 times at daemon d1
    Then each goes on with events 3 to 6

  Scenario: A host with an old list of endpoints and without peers does not guess
    Guards against a host that has not heard of the second version.
    Given a platform with 4 services and 1 daemons
    And the shop route serves streams that may be resumed
    And the store has been away for 3 s
    When the stream of an unknown attempt is resumed 4 times at daemon d0
    Then each is refused within 0.4 s and no service runs it

  Scenario: A stream whose software version has left is refused at once
    Guards against a stream that goes on at a version that did not begin it.
    Given a platform with 4 services and 3 daemons
    And the shop route serves streams that may be resumed
    And services 2 and 3 run software v2
    And the services have time for an event each 0.3 s
    When 8 streams begin at daemon d0, which is killed after 1 s
    And services 2 and 3 leave
    And their callers resume them at the other daemons
    Then no caller has events of two software versions
    And the streams of software v1 have the events 1 to 6, each once
