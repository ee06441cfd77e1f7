Feature: A request gets the whole answer of one endpoint, or a true refusal
  A daemon over services in memory, on virtual time.

  Scenario: A silent endpoint does not make a repeatable request late
    Guards against answers that wait for an endpoint that lost them.
    Given a platform with 1 engines and daemons a, b and c
    And service 0 takes requests and never answers
    When 30 repeatable requests arrive at daemon a
    Then all of them are answered within 0.2 s
    And no request ran at more than 2 services

  Scenario: An endpoint fails a part of its requests
    Guards against an endpoint whose health check is good although each
    second request fails there.
    Given a platform with 1 engines and daemons a, b and c
    And service 0 fails each 2nd request
    When 60 repeatable requests arrive at daemon a
    Then service 0 got at most 12 of them

  Scenario: A request that may run once is sent once
    Guards against a posting that is repeated after a lost answer.
    Given a platform with 1 engines and daemons a, b and c
    And the shop takes requests that may run only once
    And every service takes requests and never answers
    When 3 requests with 1 s left arrive at daemon a
    Then all of them end with status 504
    And no request ran at more than 1 services

  Scenario: The connection breaks while a request that may run once runs
    Guards against a second run of what may have run.
    Given a platform with 1 engines and daemons a, b and c
    And the shop takes requests that may run only once
    And every service breaks connections off after it has begun
    When 3 requests with 1 s left arrive at daemon a
    Then all of them end with status 502
    And no request ran at more than 1 services

  Scenario: No service answers a repeatable request
    Guards against a request that reaches more services than its route allows.
    Given a platform with 1 engines and daemons a, b and c
    And every service takes requests and never answers
    When 3 requests with 1 s left arrive at daemon a
    Then all of them end with status 504
    And no request ran at more than 2 services

  Scenario: A refused request goes to another endpoint
    Guards against refusals while other endpoints have room.
    Given a platform with 1 engines and daemons a, b and c
    And service 0 refuses everything as not run
    When 10 repeatable requests arrive at daemon a
    Then all of them are answered within 0.2 s

  Scenario: Nothing can serve a request
    Guards against requests that are held although nothing will serve them.
    Given a platform with 1 engines and daemons a, b and c
    And every service refuses everything as not run
    When 3 requests with 1 s left arrive at daemon a
    Then all of them end with status 503 within 0.1 s and a time to come back
    And no request ran at more than 0 services

  Scenario: No endpoint is known
    Guards against requests that wait for a pool without endpoints.
    Given a platform with 1 engines and daemons a, b and c
    And every service has left
    When 3 requests with 1 s left arrive at daemon a
    Then all of them end with status 503 within 0.1 s and a time to come back

  Scenario: The caller leaves
    Guards against endpoints that work for callers who have left.
    Given a platform with 1 engines and daemons a, b and c
    And every service takes requests and never answers
    When a caller of daemon a leaves after 0.05 s
    Then no service works for it 0.1 s later

  Scenario: A daemon with little traffic before many endpoints
    Guards against a new connection for almost every request.
    Given a platform with 16 services and daemons a, b and c
    When daemon a gets 30 repeatable requests, one each 0.6 s
    Then they went to at most 4 services

  Scenario: An endpoint says that it leaves
    Guards against new work for an endpoint that is leaving.
    Given a platform with 1 engines and daemons a, b and c
    When service 0 announces that it leaves
    And 1.5 s go by
    And 20 repeatable requests arrive at daemon a
    Then service 0 got none of them

  Scenario: Entries lapse while the store is away
    Guards against a pool that is empty because nobody could renew an entry.
    Given a platform with 1 engines and daemons a, b and c
    When the store is away for 5 s and every entry lapses
    And 0.5 s go by
    And 10 repeatable requests arrive at daemon a
    Then all of them are answered within 0.2 s

  Scenario: Entries that do not come back are gone
    Guards against requests to endpoints that ended during an outage.
    Given a platform with 1 engines and daemons a, b and c
    When the store is away for 5 s and every entry lapses
    And 4 s go by
    And 3 requests with 1 s left arrive at daemon a
    Then all of them end with status 503 within 0.1 s and a time to come back

  Scenario: The store forgets its history
    Guards against a daemon that keeps an old desired state.
    Given a platform with 1 engines and daemons a, b and c
    When the store forgets its history as desired state 7 is written
    And 1 s go by
    Then every daemon has desired state 7 in force

  Scenario: A resumable stream goes on at another endpoint
    Guards against events that are missing or come twice.
    Given a platform with 1 engines and daemons a, b and c
    And the shop streams and may be resumed
    And whichever service is asked first breaks its stream off after 3 events
    When a stream is asked of daemon a 5 times
    Then every stream has the events 1 to 6, each once

  Scenario: A stream that may not be resumed ends without its end
    Guards against a stream that looks complete, and one that runs twice.
    Given a platform with 1 engines and daemons a, b and c
    And the shop streams and may not be resumed
    And every service breaks streams off after 3 events
    When a stream is asked of daemon a 1 times
    Then it is broken after event 3 and ran once
