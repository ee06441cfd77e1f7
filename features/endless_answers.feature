Feature: Bytes without end are not read without end
  A faulty server may send bytes that are no answer, in a head or in a body,
  until its caller closes the connection.

  Scenario Outline: A server that sends <bytes> without end is cut off
    Guards against a daemon that reads until its memory is used up, and against
    errors that no caller of the endpoint expects.
    Given 1 raw server that sends <bytes> without end
    When <call> is made
    Then the call fails with an endpoint error within 5 s
    And the server could send at most 32 MB

    Examples: Requests
      | call      | bytes               |
      | a request | a status line       |
      | a request | empty lines         |
      | a request | header lines        |
      | a request | one header          |
      | a request | 100 Continue        |
      | a request | a chunked body      |
      | a request | a body of 100 GB    |
      | a request | a chunk extension   |
      | a request | zeros of chunk size |
      | a request | trailers            |

    Examples: Streams
      | call     | bytes               |
      | a stream | empty lines         |
      | a stream | 100 Continue        |
      | a stream | a chunked body      |
      | a stream | a chunk extension   |
      | a stream | zeros of chunk size |
      | a stream | a line of an event  |
      | a stream | data lines          |
      | a stream | comments            |

    Examples: Generations and control
      | call         | bytes               |
      | a generation | empty lines         |
      | a generation | 100 Continue        |
      | a generation | a chunked body      |
      | a generation | a chunk extension   |
      | a generation | a line of an event  |
      | a generation | data lines          |
      | a generation | comments            |
      | a report     | empty lines         |
      | a report     | a chunked body      |
      | an order     | a chunked body      |

  Scenario: A long stream of whole events is not cut
    Guards against a limit for the bytes of a whole stream.
    Given 1 raw server that streams 400 events of 64 kB
    When the stream is read with a pause of 0.001 s after each event
    Then 400 events were read

  Scenario: A request whose server sends bytes without end is answered by another
    Given 2 raw servers of which one sends a chunked body without end
    When a request is forwarded on a route with 2 attempts
    Then the caller gets status 200
