Feature: A request gets the complete answer of one endpoint or a correct error
  Daemons on virtual time, with a store and services in memory. The scenarios
  guard against late, repeated or incomplete answers when endpoints fail.

  Scenario: A repeatable request is on time although an endpoint never answers
    Guards against requests that wait for an endpoint that will not answer.
    Given a platform with 1 engines and daemons a, b and c
    And service 0 accepts requests and never answers
    When 30 repeatable requests arrive at daemon a
    Then all of them are answered within 0.2 s
    And no request ran at more than 2 services

  Scenario: An endpoint that fails a part of its requests is avoided
    Guards against an endpoint whose health check is good although each second
    request fails there.
    Given a platform with 1 engines and daemons a, b and c
    And service 0 fails each 2nd request
    When 60 repeatable requests arrive at daemon a
    Then service 0 got at most 12 of them

  Scenario: A request that may run only once is not repeated after a timeout
    Guards against a request that runs twice because its first answer was lost.
    Given a platform with 1 engines and daemons a, b and c
    And requests of the shop route may run only once
    And every service accepts requests and never answers
    When 3 requests with a timeout of 1 s arrive at daemon a
    Then all of them end with status 504
    And no request ran at more than 1 services

  Scenario: A request that may run only once is not repeated after a disconnect
    Guards against a second run of a request that may have run.
    Given a platform with 1 engines and daemons a, b and c
    And requests of the shop route may run only once
    And every service breaks the connection while it runs a request
    When 3 requests with a timeout of 1 s arrive at daemon a
    Then all of them end with status 502
    And no request ran at more than 1 services

  Scenario: A repeatable request without an answer runs at two services at most
    Guards against a request that reaches more services than its route allows.
    Given a platform with 1 engines and daemons a, b and c
    And every service accepts requests and never answers
    When 3 requests with a timeout of 1 s arrive at daemon a
    Then all of them end with status 504
    And no request ran at more than 2 services

  Scenario: A request that one endpoint refuses is sent to another one
    Guards against refusals while other endpoints have free capacity.
    Given a platform with 1 engines and daemons a, b and c
    And service 0 refuses every request as not run
    When 10 repeatable requests arrive at daemon a
    Then all of them are answered within 0.2 s

  Scenario: A request that every endpoint refuses is refused at once
    Guards against requests that are held although no endpoint will serve them.
    Given a platform with 1 engines and daemons a, b and c
    And every service refuses every request as not run
    When 3 requests with a timeout of 1 s arrive at daemon a
    Then all of them end with status 503 within 0.1 s and a Retry-After time
    And no request ran at more than 0 services

  Scenario: A request is refused at once when its pool has no endpoint
    Guards against requests that wait for a pool without endpoints.
    Given a platform with 1 engines and daemons a, b and c
    And the entries of all services are removed
    When 3 requests with a timeout of 1 s arrive at daemon a
    Then all of them end with status 503 within 0.1 s and a Retry-After time

  Scenario: The run of a request is cancelled when its caller disconnects
    Guards against endpoints that work for callers that have disconnected.
    Given a platform with 1 engines and daemons a, b and c
    And every service accepts requests and never answers
    When a caller of daemon a disconnects after 0.05 s
    Then no service is running its request 0.1 s later

  Scenario: A daemon with little traffic uses few of many endpoints
    Guards against a new connection for almost every request.
    Given a platform with 16 services and daemons a, b and c
    When daemon a gets 30 repeatable requests, one every 0.6 s
    Then they went to at most 4 services

  Scenario: A draining endpoint gets no new requests
    Guards against new requests for an endpoint that is about to stop.
    Given a platform with 1 engines and daemons a, b and c
    When service 0 announces that it is draining
    And 1.5 s go by
    And 20 repeatable requests arrive at daemon a
    Then service 0 got none of them

  Scenario: Endpoints whose entries expired in an outage are used for a while
    Guards against a pool that is empty because no endpoint could renew its
    entry.
    Given a platform with 1 engines and daemons a, b and c
    When the store is unavailable for 5 s and every entry expires
    And 0.5 s go by
    And 10 repeatable requests arrive at daemon a
    Then all of them are answered within 0.2 s

  Scenario: Endpoints that do not renew after an outage are removed
    Guards against requests to endpoints that ended during an outage.
    Given a platform with 1 engines and daemons a, b and c
    When the store is unavailable for 5 s and every entry expires
    And 4 s go by
    And 3 requests with a timeout of 1 s arrive at daemon a
    Then all of them end with status 503 within 0.1 s and a Retry-After time

  Scenario: Daemons reread the desired state when the change history is lost
    Guards against a daemon that keeps an old desired state because it missed
    the change.
    Given a platform with 1 engines and daemons a, b and c
    When the store loses its change history when desired state 7 is written
    And 1 s go by
    Then every daemon has applied desired state 7

  Scenario: A resumable stream that breaks off is resumed at another endpoint
    Guards against events that are missing or repeated.
    Given a platform with 1 engines and daemons a, b and c
    And the shop route serves streams that may be resumed
    And the first service asked for a stream breaks it off after 3 events
    When a stream is requested from daemon a 5 times
    Then every stream has the events 1 to 6, each once

  Scenario: A stream that may not be resumed is reported as broken
    Guards against a broken stream that looks complete, and one that runs
    twice.
    Given a platform with 1 engines and daemons a, b and c
    And the shop route serves streams that may not be resumed
    And every service breaks streams off after 3 events
    When a stream is requested from daemon a 1 times
    Then the stream is reported as broken after event 3 and ran once

  Scenario: A stalled stream that sends comments is resumed elsewhere
    Guards against a stream that never ends because its server sends a few
    bytes now and then.
    Given a platform with 1 engines and daemons a, b and c
    And the shop route serves streams that may be resumed
    And the first service asked for a stream sends only comments after 3 events
    When a stream with a deadline of 20 s is requested from daemon a
    Then the stream has the events 1 to 6, each once, of two runs

  Scenario: A stalled stream that may not be resumed ends as broken
    Guards against a slot that a stalled stream holds for ever.
    Given a platform with 1 engines and daemons a, b and c
    And the shop route serves streams that may not be resumed
    And the first service asked for a stream sends only comments after 3 events
    When a stream with a deadline of 20 s is requested from daemon a
    Then the stream is reported as broken after event 3 and ran once

  Scenario: A slow stream is not cut while its events arrive
    Guards against a stream that is cut at the deadline of its request, or at a
    pause that its caller accepts.
    Given a platform with 1 engines and daemons a, b and c
    And the shop route serves streams that may be resumed
    And services that send an event of a stream every 4 s
    When a stream with a deadline of 10 s is requested from daemon a
    Then the stream has the events 1 to 6 of a single run

  Scenario: A daemon that knows no endpoints yet refuses requests
    Guards against an age of what was never read, which no log line can bear:
    the request ended with an exception after it had been refused.
    Given a platform with 1 engines and daemons a, b and c
    When the store does not answer for endpoints and daemon d starts
    And 3 requests with a timeout of 1 s arrive at daemon d
    Then all of them end with status 503
