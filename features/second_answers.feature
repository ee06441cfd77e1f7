Feature: A second answer on a kept connection is not taken for that of the next call
  A raw server on a loopback address answers one call twice, and every other
  call once. The scenarios guard against answers of other calls, and against a
  run that counts as not run because of the refusal of another call.

  Scenario Outline: No call takes the second answer of a <first> for its own
    Given a raw server that answers a <first> twice, the second time <form>
    When each kind of call follows and the second answer comes at each moment
    Then each call got its own answer or failed
    And no call counts as not run that the server has run

    Examples:
      | first   | form                     |
      | request | with its id              |
      | request | with the id of another   |
      | request | without an id            |
      | request | refused without an id    |
      | request | misdirected without an id |
      | request | as 503 without an id     |
      | request | as 500 without an id     |
      | item    | with its id              |
      | item    | without an id            |
      | item    | refused without an id    |
      | refused | refused without an id    |
      | report  | without an id            |
      | order   | without an id            |

  Scenario: The second answer of a reward call is not that of its repetition
    Guards against an item that is errored because one failure counts twice.
    Given a raw server that answers a request twice, the second time as its failure
    When the same request follows and the second answer comes at each moment
    Then each call got its own answer or failed

  Scenario: Refusals without an id are believed where servers send them so
    Guards against a request that counts as run because of a usual refusal.
    Given 1 raw servers that have each answered a request on a kept connection
    And the server refuses q1 and q2 without an id
    When q1 is sent on the kept connection
    Then it fails and may have run
    When q2 is sent on a new connection
    Then it fails and has not run
    Given the server answers q3 and refuses q4 without an id
    When q3 is sent on the kept connection
    And q4 is sent on the kept connection
    Then it fails and has not run

  Scenario: A refusal without an id is confirmed by the next answer
    Guards against a server whose refusals are never believed because its
    connections are kept.
    Given 1 raw servers that have each answered a request on a kept connection
    And the server refuses q1 without an id
    When q1 is sent on the kept connection
    Then it fails and may have run
    Given the server answers q2 and refuses q3 without an id
    When q2 is sent on the kept connection
    And q3 is sent on the kept connection
    Then it fails and has not run

  Scenario: A request that may have run is not reported as not run
    Guards against a false promise to a caller: a refusal without an id may be
    the second answer to another request.
    Given 3 raw servers that have each answered a request on a kept connection
    And each server refuses q1 without an id
    When q1 is forwarded on a route with 2 attempts
    Then the caller gets status 502
    And 2 servers have received q1

  Scenario: A request that may run once does not follow an answer without an id
    Guards against a request that counts as not run because of the second
    refusal of the call before it.
    Given 1 raw servers that have each answered a request on a kept connection
    And the server refuses q1 without an id
    When q1 is sent on the kept connection
    And q2 that may run once is sent
    Then the server has received q2 once, on a new connection

  Scenario: Calls share one connection while each gets one answer
    Guards against a connection that is closed after each answer.
    Given 1 raw servers that have each answered a request on a kept connection
    When 20 requests are sent one after another
    Then each is answered
    And the server has one connection

  Scenario Outline: An answer whose connection is reset after its last byte counts
    Guards against a complete answer that is lost because of the reset.
    Given 1 raw servers that have each answered a request on a kept connection
    And the server resets its connections after <framing> answers
    When 20 requests are sent one after another
    Then each is answered

    Examples:
      | framing |
      | sized   |
      | chunked |

  Scenario: A delay of the event loop is not the time of a run
    Guards against a call that counts as run, and its server as crashed, because
    the event loop was late to read that the idle connection had been reset.
    Given 1 raw servers that have each answered a request on a kept connection
    And the server resets its connections 0.05 s of a blocked event loop after each answer
    When 20 requests are sent one after another
    Then each is answered
