Feature: The adapter reads the responses of model servers and services
  The platform clients against stand-ins of servers on loopback addresses.

  Scenario: A complete text that is resumed after its last event ends at once
    Guards against an item that fails at every engine because an earlier owner
    had already stored all of its events.
    Given a model server on a loopback address
    When a text is requested from after its last event
    Then it ends at once without an event

  Scenario: Every event of a text has a number and a version
    Guards against events without the version that generated them.
    Given a model server on a loopback address
    When a text is requested
    Then every event has its number and version 1

  Scenario: A request for an earlier server instance does not run
    Guards against a request that runs at another server that now has the
    address.
    Given a model server on a loopback address
    When a text is requested from a server instance that is gone
    Then the error says that it did not run

  Scenario Outline: A response that is incomplete or for another request fails
    Guards against the response to another request, or a part of a response,
    that is passed on as a complete one.
    Given a server that sends <bytes>
    When a request q1 is sent to it
    Then it fails and may have run

    Examples:
      | bytes                                                                  |
      | HTTP/1.1 200 OK~Attempt-Id: q2~Server-Stamp: s~Content-Length: 2~~ok   |
      | HTTP/1.1 200 OK~Attempt-Id: q1~Content-Length: 2~~ok                   |
      | HTTP/1.1 200 OK~Attempt-Id: q1~Server-Stamp: s~Content-Length: 9~~ok   |
      | HTTP/1.1 200 OK~Attempt-Id: q1~Server-Stamp: s~~ok                     |
      | HTTP/1.1 200 OK~Attempt-Id: q1~Server-Stamp: s~Content-Encoding: gzip~Content-Length: 2~~ok |
      | nonsense                                                               |

  Scenario Outline: A request that another server instance refuses did not run
    Guards against a refusal that is passed on as the answer of the service.
    Given a server that sends <bytes>
    When a request q1 is sent to it
    Then it fails and has not run

    Examples:
      | bytes                                                                          |
      | HTTP/1.1 421 Misdirected Request~Instance-Id: i-2~Content-Length: 0~~          |
      | HTTP/1.1 421 Misdirected Request~Not-Executed: 1~Content-Length: 0~~           |

  Scenario: A complete response is accepted
    Guards against a check that rejects every response.
    Given a server that sends HTTP/1.1 200 OK~Attempt-Id: q1~Server-Stamp: s~Content-Length: 2~~ok
    When a request q1 is sent to it
    Then its response is ok with stamp s

  Scenario: Repeatable requests succeed though idle connections are dropped
    Guards against a healthy server that counts as crashed, and a request that
    fails, because the server closes idle connections earlier than it
    announces.
    Given a server on a loopback address that drops idle connections
    When repeatable requests q1, q2, q3 are sent to it one after another
    Then each is answered and has run once

  Scenario: Generations succeed though idle connections are dropped
    Guards against items that wait because a healthy engine counts as failing.
    Given a model server on a loopback address
    And it drops idle connections
    When a text is requested
    And a text is requested
    Then every event has its number and version 1

  Scenario: Unrepeatable requests do not fail in a row on dropped connections
    Guards against requests that fail again and again at a healthy server
    because they must not be sent a second time.
    Given a server on a loopback address that drops idle connections
    When requests q1, q2, q3 that may run once are sent one after another
    Then q1 and q3 are answered and q2 may have run

  Scenario Outline: A request that may run once is not repeated by the library
    Guards against a request that may run only once and that the HTTP library
    repeats by itself after its connection broke.
    Given a server on a loopback address that breaks off running requests
    When a <method> request q1 that may run once is sent to it
    Then it fails and may have run
    And q1 has run once

    Examples:
      | method |
      | POST   |
      | PUT    |
      | DELETE |
