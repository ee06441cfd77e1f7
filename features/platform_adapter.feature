Feature: The adapter reads what model servers really send
  The client of the engines against the stand-in of a model server.

  Scenario: The rest of a text that is whole
    Guards against an item that fails at each engine for ever because an
    earlier owner had kept all of its events.
    Given a model server on a loopback address
    When the rest of a text after its last event is asked for
    Then it ends at once without an event

  Scenario: A text from its first event to its end
    Guards against events without the version that made them.
    Given a model server on a loopback address
    When a text is asked for
    Then every event has its number and version 1

  Scenario: A server that has another name now
    Guards against a request that runs at a server that took over an address.
    Given a model server on a loopback address
    When a text is asked of a server that is gone
    Then it certainly did not run

  Scenario Outline: An answer that is not a whole answer to the request
    Guards against bytes of another request, or a part, passed on as whole.
    Given a server that sends <bytes>
    When a request q1 is sent to it
    Then no answer comes of it

    Examples:
      | bytes                                                                  |
      | HTTP/1.1 200 OK~Attempt-Id: q2~Server-Stamp: s~Content-Length: 2~~ok   |
      | HTTP/1.1 200 OK~Attempt-Id: q1~Content-Length: 2~~ok                   |
      | HTTP/1.1 200 OK~Attempt-Id: q1~Server-Stamp: s~Content-Length: 9~~ok   |
      | HTTP/1.1 200 OK~Attempt-Id: q1~Server-Stamp: s~~ok                     |
      | HTTP/1.1 200 OK~Attempt-Id: q1~Server-Stamp: s~Content-Encoding: gzip~Content-Length: 2~~ok |
      | nonsense                                                               |

  Scenario: An answer that is whole
    Guards against a check that refuses every answer.
    Given a server that sends HTTP/1.1 200 OK~Attempt-Id: q1~Server-Stamp: s~Content-Length: 2~~ok
    When a request q1 is sent to it
    Then its answer is ok with stamp s

  Scenario: A request on an idle connection that its server has dropped
    Guards against a healthy server taken as crashed, and its request lost,
    because it forgets idle connections sooner than it announces.
    Given a server on a loopback address that drops idle connections
    When repeatable requests q1, q2, q3 are sent to it one after another
    Then each is answered and has run once

  Scenario: Text after text on idle connections that their server has dropped
    Guards against items that wait because a healthy engine counts as broken.
    Given a model server on a loopback address
    And it drops idle connections
    When a text is asked for
    And a text is asked for
    Then every event has its number and version 1

  Scenario: A request that may run once at a server that drops connections
    Guards against requests that fail again and again at a healthy server
    because they must not be sent a second time.
    Given a server on a loopback address that drops idle connections
    When requests q1, q2, q3 that may run once are sent one after another
    Then q1 and q3 are answered and q2 may have run

  Scenario Outline: A request that breaks off while it runs
    Guards against the HTTP library repeating, by itself, a request that may
    run once only.
    Given a server on a loopback address that breaks off what it runs
    When a <method> request q1 that may run once is sent to it
    Then no answer comes of it
    And q1 has run once

    Examples:
      | method |
      | POST   |
      | PUT    |
      | DELETE |
