Feature: Only events of its own run reach the caller of a stream
  Raw servers, which answer in bytes. A stream has the events 1 to 4.

  Scenario Outline: A stream that is resumed at a server that answers <answer>
    Guards against the body of an error, or events that were sent before, in
    the middle of a stream, and against a cut stream that ends as complete.
    Given 3 raw servers for streams
    And the first one asked breaks off after event 2, the next answers <answer>
    When a resumable stream with 4 attempts is requested
    Then the caller gets the events 1 to 4, each once, and the end
    And 3 sends began with the events after none, 2 and 2

    Examples:
      | answer                        |
      | 500 with a text               |
      | 500 in chunks                 |
      | 500 without an end            |
      | 502 with a text               |
      | 503 that may have run         |
      | 404 with a text               |
      | 302 with a text               |
      | 206 with events               |
      | 200 with a text               |
      | 200 without a stamp           |
      | 200 without a length          |
      | events from 1 on              |
      | an end inside event 3         |
      | a head that breaks off        |
      | a head behind event 3         |
      | bytes that are no answer      |

  Scenario Outline: A stream that no server goes on with is reported as broken
    Guards against a stream that ends as complete with the answer of a server
    that failed.
    Given 3 raw servers for streams
    And the first one asked breaks off after event 2, all others answer <answer>
    When a resumable stream with 3 attempts is requested
    Then the stream is broken after the events 1 and 2, without an end

    Examples:
      | answer                 |
      | 500 with a text        |
      | 404 with a text        |
      | a head that breaks off |

  Scenario: A failed run of a resumable stream is repeated elsewhere
    Guards against an error of one server that ends a request which another
    one would serve.
    Given 3 raw servers for streams
    And the first one asked answers 500 with a text
    When a resumable stream with 3 attempts is requested
    Then the caller gets the events 1 to 4, each once, and the end

  Scenario Outline: An answer that is no stream is passed on whole
    Guards against an error that is passed on as the begin of a stream, to
    which the events of another run are added.
    Given 3 raw servers for streams
    And all answer <answer>
    When a <kind> stream with 2 attempts is requested
    Then the caller gets status <status> and the body <body>, after <runs> runs

    Examples:
      | answer             | kind          | status | body  | runs |
      | 500 with a text    | resumable     | 500    | wrong | 2    |
      | 500 with a text    | non-resumable | 500    | wrong | 1    |
      | 500 in chunks      | non-resumable | 500    | wrong | 1    |
      | 404 with a text    | resumable     | 404    | wrong | 1    |
      | 500 without an end | non-resumable | 502    |       | 1    |
      | 200 without a stamp | non-resumable | 502   |       | 1    |

  Scenario Outline: <call> whose answer is cut at any byte fails
    Guards against an answer that ends in its head or its body and is taken
    for a whole one, with status 200 and a body that is empty or short.
    When <call> is answered in part, up to each byte, and the connection is <end>
    Then each of these calls failed with an endpoint error

    Examples:
      | call                     | end    |
      | a request                | closed |
      | a request                | reset  |
      | a request in chunks      | closed |
      | a stream                 | closed |
      | a stream                 | reset  |
      | a stream with a length   | closed |
      | a generation             | closed |
      | a generation             | reset  |
      | a report                 | closed |
      | an order                 | closed |
      | a request through a peer | closed |
      | a request through a peer | reset  |
      | a stream through a peer  | closed |
