Feature: Memory held for slow readers is bounded for the whole host
  Endpoints cut connections whose data is not read, so that a daemon reads
  answers on and ends the caller that holds the most when too much is held.

  Scenario Outline: Of <load>, few callers are ended
    Guards against callers that lose their answers as others read slowly.
    Given held answers: <load>
    When 32 MB may be held
    Then policy largest ends <largest>
    And policy arrival ends <arrival>

    Examples:
      | load                                           | largest                    | arrival                     |
      | 1 x 24 MB slow, 500 x 0.02 MB slow             | 1 x 24 MB                  | 1 x 24 MB                   |
      | 500 x 0.02 MB slow, 1 x 24 MB slow             | 1 x 24 MB                  | 260 x 0.02 MB               |
      | 2 x 8 MB normal, 200 x 0.1 MB slow             | 72 x 0.1 MB                | 1 x 8 MB                    |
      | 2 x 8 MB new, 200 x 0.1 MB slow                | 72 x 0.1 MB                | 72 x 0.1 MB                 |
      | 5 x 8 MB normal                                | 2 x 8 MB                   | 2 x 8 MB                    |
      | 3 x 8 MB slow, 10 x 0.5 MB normal              | nobody                     | nobody                      |

  Scenario: 10,000 readers of 1 byte per second hold no more than the bound
    Guards against many small holders that together use up the memory, and
    against normal callers that are ended with them.
    Given a host that may hold 40 MB
    When 10000 callers of 1 byte per second get 0.5 MB each, and 1000 normal ones as much
    Then at most 40 MB were held at any time
    And only slow callers were ended, each with one log line and counted
    And nothing is held after all have left

  Scenario: A stream goes on while its caller reads nothing, until the bound
    Guards against an endpoint that is not read for as long as a caller does
    not read, and cuts its connection.
    Given a host that may hold 0.5 MB
    And 1 raw server that streams 400 events of 64 kB
    When a caller asks for the stream and reads nothing
    Then it is ended when more than 0.5 MB were held
    And another caller reads an answer of 0.15 MB whole
    And nothing is held

  Scenario: Large request bodies wait for room, small ones do not
    Guards against bodies for slow endpoints that use up the memory, and
    against a call that keeps its room after its caller has left.
    Given room of 4 MB for bodies
    When bodies of 1 MB, 1.5 MB, 0.01 MB and 1 MB arrive
    Then those of 1 MB, 0.01 MB are read and the others wait in order
    When the caller of the first waiting body leaves
    Then those of 1 MB, 0.01 MB, 1 MB are read and the others wait in order
    And a body of 1 MB with no time left is refused
    When all bodies are released
    Then a body of 9 MB is read alone

  Scenario: A body above the whole bound ends no caller that reads well
    Guards against a large body that takes the share of the callers, too.
    Given a host that may hold 4 MB
    When a caller that takes 4 MB per second holds 1 MB and a body reserves 18 MB
    Then nobody is ended
    When a caller that takes nothing holds 1.2 MB
    Then the caller that takes nothing is ended

  Scenario: Bodies of unknown length reserve room only if they are large
    Guards against small bodies that wait for each other, against a limit for
    bodies that does not count what was read before the reservation, and
    against room for the largest body that is kept until the answer arrives.
    Given room of 4 MB for bodies
    When bodies of unknown length of 60000, 90000 and 300000 bytes are sent
    Then they are answered 200 reserving 0 at most and 0 at the end, 200 reserving 524288 at most and 180000 at the end, 413

  Scenario: A compressed body reserves room for what it is decoded to
    Guards against short compressed bodies that use up the memory, and against
    endpoints that are told to decode a decoded body.
    Given room of 4 MB for bodies
    When a body of 200000 bytes is sent compressed
    Then they are answered 200 reserving 524288 at most and 400000 at the end
    And the encoding is not forwarded

  Scenario Outline: A caller with HTTP/<version> that expects 100 gets <answers>
    Guards against a caller that waits for ever to send the body of a call
    without a route, against one that takes 100 for its answer, and against
    bodies of such calls that are kept.
    Given room of 4 MB for bodies
    When <length> bytes are posted to no route with HTTP/<version> and Expect
    Then the answers are <answers>
    And at most 1 MB of them was kept

    Examples:
      | version | length  | answers  |
      | 1.1     | 3       | 100, 404 |
      | 1.0     | 3       | 404      |
      | 1.1     | 6000000 | 100, 404 |
      | 1.1     | 9000000 | 100, 413 |

  Scenario: A kernel without a limit for unsent bytes serves callers
    Guards against an error in the log for each connection on such a kernel.
    Given a kernel that refuses to limit unsent bytes
    When a caller connects
    Then it is connected without an error
    And its connection is paused by the first byte that is not taken

  Scenario: A body that has room is not counted for its caller, too
    Guards against a caller of a stream that is ended for a body which is
    counted already.
    Given a host that may hold 10 MB
    When a stream whose body of 1 MB has room pauses
    Then less than 0.1 MB are counted for its caller
    And 1 MB more once the room is released

  Scenario: A caller that is ended by the last part of a stream logs no error
    Guards against a traceback for an end that has a log line of its own.
    Given a host that may hold 0.5 MB
    When a caller that reads nothing is ended by the last part of a stream
    Then its answer is incomplete and no error is logged
    And nothing is held

  Scenario: A daemon that stops waits for answers that are still read
    Guards against answers that are cut because only their endpoints are
    waited for.
    Given a host that may hold 40 MB
    When a caller has read the head of an answer of 8 MB
    Then 1 call is in flight at its daemon
    And none when the caller has read 8 MB

  Scenario Outline: The bound of a host with <limits> is <bound> MB
    Guards against a host without limits whose memory is not bounded.
    Given a settings file with the limits <limits>
    Then <bound> MB may be held for slow readers

    Examples:
      | limits                         | bound |
      | memory-mb = 160                | 40    |
      | memory-mb = 160, held-mb = 12  | 12    |
      | held-mb = -3                   | 64    |
      | cpu-cores = 2                  | 64    |
