Feature: No request is kept waiting past the timeout of its route
  The operator sets the longest time in which requests of a route are answered.
  Daemons on virtual time, with services in memory. The deadline of each request
  is 8 s.

  Scenario Outline: A <kind> request whose server is silent is answered at <timeout> s
    Guards against requests that a daemon holds as long as their callers wait,
    at a server that never answers.
    Given a platform with 2 services and daemons a, b and c
    And the shop route serves <kind> requests with a timeout of <timeout> s
    And all services run requests and answer nothing
    When 8 requests with a deadline of 8 s arrive at daemon a together
    Then each of them ends with status 504 after <timeout> s

    Examples:
      | kind             | timeout |
      | plain            | 2       |
      | plain            | 0.5     |
      | streamed         | 2       |
      | streamed         | 0.5     |
      | resumable stream | 2       |

  Scenario: A stream that falls silent ends visibly at the timeout
    Guards against a stream whose caller waits for events that never come.
    Given a platform with 2 services and daemons a, b and c
    And the shop route serves streamed requests with a timeout of 3 s
    And all services send only comments after 3 events
    When 2 requests with a deadline of 8 s arrive at daemon a together
    Then each of them is broken after 3 events and 3 s, without an end

  Scenario: A stream whose events arrive ends visibly at the timeout
    Guards against answers that are not final at the timeout of their route.
    Given a platform with 2 services and daemons a, b and c
    And the shop route serves streamed requests with a timeout of 3 s
    And services that send an event of a stream every 0.8 s
    When 2 requests with a deadline of 8 s arrive at daemon a together
    Then each of them is broken after 3 events and 3 s, without an end
    And no service counts as failing

  Scenario: A resumable stream goes on at another server before the timeout
    Guards against a silent server that takes all the time of a stream which
    another one could serve.
    Given a platform with 3 services and daemons a, b and c
    And the shop route serves resumable stream requests with a timeout of 20 s
    And the first service asked for a stream answers nothing
    When 1 requests with a deadline of 30 s arrive at daemon a together
    Then each of them gets the events 1 to 6 within 6 s

  Scenario: Silent servers of streams are used less
    Guards against streams that go to a silent server again and again.
    Given a platform with 2 services and daemons a, b and c
    And the shop route serves streamed requests with a timeout of 1 s
    And service 0 runs streams and answers nothing
    When 60 streams with a deadline of 8 s arrive at daemon a, one each 0.1 s
    Then at most 20 of them reached service 0

  Scenario: A request that was never sent is refused, not timed out
    Guards against an answer that tells callers that a server may have run what
    none has seen.
    Given a platform with 2 services and daemons a, b and c
    And the shop route serves streamed requests with a timeout of 2 s
    And the entries of all services are removed
    When 2 requests with a deadline of 8 s arrive at daemon a together
    Then each of them ends with status 503 after 0 s

  Scenario: The timeout before the head of a stream is answered
    Guards against a connection that ends without an answer, as the stream
    counted as begun while its origin was told to silent peers.
    Given a platform with 4 services and daemons a, b and c
    And services 2 and 3 run software v2
    And the shop route serves resumable stream requests with a timeout of 0.1 s
    And no peer answers calls about origins
    When 1 requests with a deadline of 8 s arrive at daemon a together
    Then each of them ends with status 504 after 0.1 s

  Scenario: A submission is answered at the timeout of its route
    Guards against a trainer that waits for a store which does not answer.
    Given a platform with 1 services and daemons a, b and c
    And the job route has a timeout of 0.3 s
    And the store answers no writes
    When a job is submitted to daemon a
    Then it is answered without an acceptance within 0.6 s
