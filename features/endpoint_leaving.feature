Feature: An endpoint that says it is leaving gets nothing new
  A server that leaves says so in all its answers, at times before its row in
  the store does, or instead of it. Daemons on virtual time, with services and
  engines in memory. A request that arrives later than 2 s after a daemon has
  passed on such an answer must not reach that server from that daemon.

  Scenario Outline: Requests go elsewhere after the first such answer
    Guards against a daemon that waits for the row of the endpoint.
    Given a platform with 3 services and daemons a, b and c
    And <store>
    And service 0 says that it is leaving
    When 30 requests a second arrive at all daemons for 8 s
    Then no daemon sent to service 0 after the first answer to it
    And all of the requests were answered

    Examples:
      | store                                 |
      | the store is unavailable              |
      | the rows of services are written anew |

  Scenario: A refusal and a failure say it too
    Guards against reports that only successful answers carry.
    Given a platform with 3 services and daemons a, b and c
    And service 0 says that it is leaving in each refusal
    And service 1 says that it is leaving in each failed run
    When 30 requests a second arrive at all daemons for 4 s
    Then a daemon knows that service 0 leaves by its refusal
    And no daemon sent to service 1 after the first answer to it
    And all of the requests were answered

  Scenario: A stream says it in its head
    Guards against streams whose reports are not read.
    Given a platform with 1 services and daemons a, b and c
    And the shop route serves streams that may be resumed
    And service 0 says that it is leaving
    When streams with the body s are requested 12 times, every 0.4 s from the next daemon
    Then service 0 got at most 1 stream from each daemon

  Scenario: The next start of the endpoint is used at once
    Guards against a report that outlives the start that sent it.
    Given a platform with 1 services and daemons a, b and c
    And service 0 says that it is leaving
    When 30 requests a second arrive at all daemons for 2 s
    And service 0 starts again
    And 30 requests a second arrive at all daemons for 2 s
    Then all of the requests were answered

  Scenario: The row of a leaving endpoint that comes back changes nothing
    Guards against an endpoint that is used again since its row was gone.
    Given a platform with 3 services and daemons a, b and c
    And service 0 says that it is leaving
    When 30 requests a second arrive at all daemons for 3 s
    And the row of service 0 is gone for 3 s and comes back
    And 30 requests a second arrive at all daemons for 4 s
    Then no daemon sent to service 0 after the first answer to it

  Scenario: Requests are refused at once when all endpoints leave
    Guards against requests that wait for a slot that nobody will free.
    Given a platform with 2 services and daemons a, b and c
    And services 0 and 1 say that they are leaving
    When 30 requests a second arrive at all daemons for 4 s
    Then each request after the first 1 s was refused within 0.01 s, with a Retry-After time

  Scenario: Items go to other engines and those that run go on
    Guards against items that are placed at a leaving engine, or cut there.
    Given a platform with 3 engines and daemons a, b and c
    And engine 0 says that it is leaving
    When daemon a accepts job j1 with 48 items
    And 5 s go by
    And daemon b accepts job j2 with 48 items
    And 20 s go by
    Then no daemon sent an item to engine 0 after the first answer to it
    And every daemon lists 48 completed results of job j1 in the same order
    And every daemon lists 48 completed results of job j2 in the same order
    And no item of job j1 ran twice

  Scenario: An endpoint that leaves keeps its limit
    Guards against two reports in one answer of which one is lost.
    Given a platform with 2 services and daemons a, b and c
    And service 0 says that it is leaving and takes 2 requests a second
    When 30 requests a second arrive at all daemons for 4 s
    Then daemon a knows that service 0 leaves and takes 2 requests a second

  Scenario Outline: What servers say in headers is read as <report>
    Guards against malformed headers that are believed, or that cost the caller
    the answer.
    Given 1 raw server that answers with the headers <headers>
    When a request is sent to it
    Then the answer is whole and its report is <report>

    Examples:
      | headers                               | report                     |
      | Server-Leaving: 1                     | leaving                    |
      | Server-Limit: 2.5                     | 2.5 a second               |
      | Server-Leaving: 1, Server-Limit: 3    | leaving, 3 a second        |
      | server-leaving: 1                     | leaving                    |
      | Server-Leaving: 0                     | malformed leaving          |
      | Server-Leaving: true                  | malformed leaving          |
      | Server-Leaving: 1, Server-Leaving: 1  | malformed leaving          |
      | Server-Leaving:                       | malformed leaving          |
      | Server-Limit:                         | malformed limit            |
      | Server-Limit: -1                      | malformed limit            |
      | Server-Limit: 0                       | malformed limit            |
      | Server-Limit: 0.0                     | malformed limit            |
      | Server-Limit: inf                     | malformed limit            |
      | Server-Limit: nan                     | malformed limit            |
      | Server-Limit: 1e3                     | malformed limit            |
      | Server-Limit: 400 digits              | malformed limit            |
      | Server-Limit: 2, Server-Limit: 3      | malformed limit            |
      | Server-Limit: x, Server-Leaving: 1    | leaving, malformed limit   |

  Scenario: Headers in a trailer say nothing
    Given 1 raw server that sends Server-Leaving in a trailer
    When a request is sent to it
    Then the answer is whole and its report is nothing

  Scenario: The last sound limit holds
    Guards against an endpoint that is used without a limit because of a
    malformed header.
    Given a platform with 1 services and daemons a, b and c
    And services 0 take 2 requests a second
    When 30 requests a second arrive at all daemons for 3 s
    And service 0 sends a malformed limit
    And 30 requests a second arrive at all daemons for 3 s
    Then daemon a knows that service 0 takes 2 requests a second
    And each daemon has logged the malformed report once

  Scenario: An answer of another server at the address says nothing
    Guards against an address that is used again by another service.
    Given 1 raw server that answers 421 with the headers Server-Leaving: 1
    When a request is sent to it
    Then it fails as not run and without a report
