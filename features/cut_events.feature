Feature: An answer that stops inside a unit is not taken for a whole one
  Raw servers, which answer in bytes. What they send is cut at each of its
  bytes, and its framing is sound all the same: the last chunk follows, or the
  length is that of the part. Only the unfinished unit shows the cut.

  Scenario Outline: <call> whose <body> is cut soundly is whole or fails
    Guards against a text or a stream that is listed or ends as complete with
    a part of an event, such as its line `id` alone (review/7).
    Given an answer to <call> with <body>
    When it is cut at each byte and framed <framing>
    Then each cut call failed or has only whole units, at the end of one
    And nothing is taken for a whole answer before the first unit

    Examples: Events
      | call                        | body                   | framing       |
      | a generation                | events                 | in chunks     |
      | a generation                | events                 | with a length |
      | a generation                | events of many fields  | in chunks     |
      | a generation                | events with CRLF       | in chunks     |
      | a generation through a peer | events of many fields  | in chunks     |
      | a stream                    | events                 | in chunks     |
      | a stream                    | events                 | with a length |
      | a stream                    | events of many fields  | in chunks     |
      | a stream                    | events with CRLF       | in chunks     |
      | a stream through a peer     | events of many fields  | in chunks     |
      | an own stream               | own events             | in chunks     |
      | an own stream to a caller   | own events to callers  | in chunks     |

  Scenario Outline: The rest of <call> that is cut soundly has only whole units
    Guards against a part of an event behind the events of the run before.
    Given a resumption of <call> behind event 2
    When it is cut at each byte and framed in chunks
    Then each cut call failed or has only whole units, at the end of one

    Examples:
      | call         |
      | a generation |
      | a stream     |

  Scenario Outline: <call> whose answer is cut soundly fails
    Guards against a part of a message that is taken for a whole one.
    Given an answer to <call> with its message
    When it is cut at each byte and framed as a message
    Then only the whole answer was taken

    Examples:
      | call                |
      | a report            |
      | a store read        |
      | a message to a peer |
      | an own call         |
      | an own report       |
      | an own read         |

  Scenario: A caller does not get the end of a stream that was cut in an event
    Guards against a part of the first event that is passed on as the body of a
    stream, which then ends as complete.
    Given 1 raw servers for streams
    And all answer with the line id of event 1 and the end
    When a non-resumable stream with 1 attempts is requested
    Then the caller gets status 502 and the body , after 1 runs

  Scenario: An event without data is no event of a text
    Guards against a text that is listed without one of its events.
    Given an answer to a generation with an event without data
    When it is sent whole
    Then the call failed

  Scenario: A stored text that the store returns in part is not passed on
    Guards against a result whose text is a part of what was stored.
    Given a stored text of 100000 characters
    When the store returns the first 99999 bytes of it
    Then the text cannot be read, and can when the store returns all
