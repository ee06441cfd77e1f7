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

    Examples: Store, peers and own interface
      | call                     | bytes               |
      | a store read             | a chunked body      |
      | a store read             | a body of 100 GB    |
      | a store read             | header lines        |
      | a store read             | 100 Continue        |
      | a store read             | a chunk extension   |
      | a store read             | chunks of one byte  |
      | a store read             | trailers            |
      | a message to peer        | a chunked body      |
      | a message to peer        | 100 Continue        |
      | a request through a peer | a chunked body      |
      | a request through a peer | 100 Continue        |
      | a stream through a peer  | data lines          |
      | an own call              | a chunked body      |
      | an own call              | header lines        |
      | an own stream            | data lines          |
      | an own stream            | a line of an event  |
      | an own stream            | chunks of one byte  |
      | an own report            | a body of 100 GB    |
      | an own read              | a chunked body      |

  Scenario Outline: Many calls at once to servers that send <bytes> without end
    Guards against a host with little memory that is ended, and the requests of
    all its callers with it, by the answers of one faulty server.
    Given a host with <memory> MiB and 1 raw server that sends <bytes> without end
    When 40 <call> are made at the same time
    Then each call fails with an endpoint error
    And at most <held> MiB were held for them, buffers included

    Examples:
      | call        | bytes              | memory | held |
      | requests    | a chunked body     | 128    | 32   |
      | requests    | a body of 100 GB   | 128    | 32   |
      | requests    | 100 Continue       | 128    | 32   |
      | requests    | long header lines  | 128    | 32   |
      | requests    | chunks of one byte | 128    | 32   |
      | streams     | a line of an event | 128    | 32   |
      | streams     | data lines         | 128    | 32   |
      | streams     | 100 Continue       | 128    | 32   |
      | generations | a chunked body     | 128    | 32   |
      | store reads | a chunked body     | 128    | 32   |
      | store reads | 100 Continue       | 128    | 32   |

  Scenario: Sound requests are answered beside answers without end
    Guards against the largest answers that are ended being those of others.
    Given a host with 128 MiB and 1 raw server that sends a chunked body without end
    And a raw server that answers with 100000 bytes
    When both get 30 requests at the same time
    Then the 30 requests to the sound server are answered whole

  Scenario Outline: <call> whose body turns into something else fails at once
    Guards against a caller that waits until its deadline, as the reader of a
    body is not told of malformed framing behind its begin.
    Given 1 raw server that sends an event and then bytes that are no chunk
    When <call> is made
    Then the call fails with an endpoint error before any timeout

    Examples:
      | call                     |
      | a request                |
      | a request through a peer |
      | a stream                 |
      | a stream through a peer  |
      | a generation             |
      | a report                 |
      | a store read             |
      | a message to peer        |
      | an own call              |
      | an own stream            |
      | an own report            |
      | an own read              |

  Scenario Outline: A sound answer of <size> bytes in chunks of <part> is read
    Guards against limits that end sound answers.
    Given 1 raw server that answers with <size> bytes in chunks of <part>
    When a request is made to it
    Then the body has <size> bytes

    Examples:
      | size    | part  |
      | 10000   | 1     |
      | 500000  | 8     |
      | 7000000 | 4000  |
      | 8000000 | 65536 |

  Scenario: A reader that is behind allows no bytes of another answer
    Guards against a limit that is set for an answer by the reader of the one
    before on the same connection.
    Given 1 raw server that answers with 3 events and then with 4000000 bytes
    When the events are read after the second answer has begun
    Then the body has 4000000 bytes
    And both answers came on one connection

  Scenario: An object of the largest size is read from the store
    Guards against a limit below what the store keeps.
    Given 1 raw server that answers with 8388608 bytes in chunks of 65536
    When an object is read from it over the connections of a daemon
    Then the body has 8388608 bytes

  Scenario: Changes that are too many for an answer are read as a table
    Guards against a watch that asks for the same changes again and again.
    Given 1 raw server that answers with 20000000 bytes in chunks of 65536
    When the changes of a table are read from it over the connections of a daemon
    Then the history counts as lost

  Scenario: A compressed body is not decompressed
    Guards against a short answer that becomes a large one.
    Given 1 raw server that answers an own read with 100 MB, compressed
    When an own read is made
    Then the call fails with an endpoint error before any timeout

  Scenario: A long stream of whole events is not cut
    Guards against a limit for the bytes of a whole stream.
    Given 1 raw server that streams 400 events of 64 kB
    When the stream is read with a pause of 0.001 s after each event
    Then 400 events were read

  Scenario: A request whose server sends bytes without end is answered by another
    Given 2 raw servers of which one sends a chunked body without end
    When a request is forwarded on a route with 2 attempts
    Then the caller gets status 200
