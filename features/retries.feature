Feature: A run that broke off is counted, also if the call is sent again
  Clients, forwarders and reward calls against servers on loopback addresses that send
  raw bytes and break connections at chosen moments.

  Scenario Outline: A request whose runs break off reaches no further servers
    Guards against a run that is not counted because its connection was taken
    for an idle one and the server refused the repetition.
    Given 5 raw servers that have each answered a request on a kept connection
    And each breaks its connections after it has run q1 for <run> s and then <then>
    When q1 is forwarded on a route with 2 attempts
    Then 2 servers have begun to run q1
    And the caller gets status 502

    Examples:
      | run   | then                    |
      | 0.005 | refuses connections     |
      | 0.005 | answers as not run      |
      | 0.005 | answers as not that one |
      | 0.03  | refuses connections     |
      | 0.03  | answers as not run      |

  Scenario: A repetition that runs is counted as a second run
    Guards against a request that runs twice at one server, and then at as
    many further servers as if it had run once.
    Given 5 raw servers that have each answered a request on a kept connection
    And each breaks its connections after it has run q1 for 0.005 s and then fails
    When q1 is forwarded on a route with 2 attempts
    Then 1 servers have begun to run q1
    And the caller gets status 500

  Scenario: A request that waited at idle connections is sent at last on a new one
    Guards against a healthy server that counts as crashed because it has
    closed several idle connections.
    Given 1 raw server with 4 kept connections that it resets when used
    When q1 is forwarded on a route with 2 attempts
    Then the caller gets status 200
    And the server has received q1 on 3 connections

  Scenario: A stream whose runs break off before their answer reaches no further servers
    Guards against runs of a resumable stream that are counted only once their
    answer has begun.
    Given 5 raw servers that have each answered a request on a kept connection
    And each breaks its connections after it has run q1 for 0.03 s and then refuses connections
    When q1 is forwarded on a route of resumable streams with 2 attempts
    Then 2 servers have begun to run q1
    And the caller gets status 502

  Scenario: A stream is not resumed after its caller has disconnected
    Guards against an error of the caller's connection that is taken for one of
    the server's.
    Given 3 raw servers that each answer with a stream
    When q1 is forwarded as a resumable stream to a caller that has disconnected
    Then 1 servers have begun to run q1
    And the stream is reported as broken
    And no endpoint counts as failed

  Scenario Outline: Only an answer of a failed run counts against a reward call
    Guards against an item that is errored because a server was overloaded,
    out of time or not reached.
    Given 3 raw servers that each answer 2 requests with <answer>
    When the reward call q1 is made on a route with 4 attempts
    Then its item is <outcome>

    Examples:
      | answer                                             | outcome   |
      | HTTP/1.1 500 S~Attempt-Id: q1~Content-Length: 0~~  | errored   |
      | HTTP/1.1 502 S~Attempt-Id: q1~Content-Length: 0~~  | completed |
      | HTTP/1.1 503 S~Attempt-Id: q1~Content-Length: 0~~  | completed |
      | HTTP/1.1 504 S~Attempt-Id: q1~Content-Length: 0~~  | completed |
      | HTTP/1.1 500 S~Attempt-Id: q9~Content-Length: 0~~  | completed |
      | HTTP/1.1 500 S~Attempt-Id: q1~Content-Length: 2~~x | completed |
