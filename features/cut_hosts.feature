Feature: Callers of a host that is cut from all endpoints are served
  Real daemons on loopback addresses. Packets of some of them to all endpoints are
  lost, while callers, the store and the other daemons still reach them.

  Scenario Outline: Requests at hosts that are cut from all endpoints go through peers
    Guards against callers that are refused, or wait for their deadline, as
    their host has lost its ways to the endpoints.
    Given a site of <daemons> daemons that logs to files
    And every daemon has answered a request
    And <cut> daemons are cut from all endpoints, <how>
    When the site runs on for <pause> s
    And 5 requests are sent to each daemon that is cut
    Then all of them are answered with 200 within 2 s

    Examples:
      | daemons | cut | how                            | pause |
      | 3       | 1   | whose open connections hang    | 3     |
      | 3       | 2   | whose open connections hang    | 3     |
      | 3       | 2   | whose open connections live on | 3     |
      | 3       | 2   | whose open connections hang    | 12    |

  Scenario: A kept connection on which nothing arrives any more ends soon
    Guards against requests that are sent on connections of before a cut, and
    against a TCP_USER_TIMEOUT, also one that a library sets: it would decide when
    the probes give up, whatever their number.
    Given 1 raw servers that have each answered a request on a kept connection
    Then the connection is probed after 1 s, then each 1 s, and ends after 2 probes
    And neither it nor a connection that a listener accepts has a TCP_USER_TIMEOUT
    When the packets of the host to the server are lost for 5 s
    Then the connection has ended and its way counts as failed
