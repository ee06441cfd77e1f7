Feature: Headers that callers name do not change what is sent
  A filter is common to requests, items, relays and answers. Headers of one
  connection and those that the service sets are not taken from items, in
  whatever letters; what is no header is refused with the submission.

  Scenario: Items run with their own body whatever headers they list
    Guards against bodies that are framed by a listed header, and against items
    that never run to their end. Real processes on loopback addresses.
    Given a loopback site with 1 daemon and 2 engines
    When a job is submitted whose items list
      | name              | value         |
      | Transfer-Encoding | chunked       |
      | transfer-encoding | identity      |
      | Content-Length    | 6             |
      | CONTENT-LENGTH    | 0             |
      | Connection        | close         |
      | Connection        | Host, Attempt-Id, Model |
      | Keep-Alive        | timeout=1     |
      | TE                | trailers      |
      | Trailer           | Model         |
      | Upgrade           | h2c           |
      | Expect            | 100-continue  |
      | Proxy-Connection  | close         |
      | Host              | other.example |
      | host              | other.example |
      | Attempt-Id        | other         |
      | ATTEMPT-ID        | other         |
      | Deadline-Ms       | 1             |
      | deadline-ms       | 1             |
      | Expect-Instance   | other         |
      | expect-instance   | other         |
      | Last-Event-Id     | 3             |
      | last-event-id     | 99            |
      | Resumes           | other         |
      | Urgency           | 0             |
      | Accept-Encoding   | gzip          |
      | X-Text            | grüße         |
      | X-Empty           |               |
    Then all of its items complete with all events
    And each item has run with its body and no other request has
    And each run named its item, its time and its server once
    And headers that are not listed above reach the engines

  Scenario Outline: A submission with <what> is refused with the reason
    Guards against a 202 for items that are tried until their time is over.
    When a submission is decoded whose item lists <header>
    Then it is refused as <reason>

    Examples:
      | what               | header              | reason                        |
      | a space in a name  | {"a b": "1"}        | 'a b' is not the name of a header |
      | a colon in a name  | {"a:b": "1"}        | 'a:b' is not the name of a header |
      | an empty name      | {"": "1"}           | '' is not the name of a header |
      | a name of letters outside ASCII | {"ä": "1"} | 'ä' is not the name of a header |
      | a line break in a name | {"a\r\nb": "1"} | 'a\r\nb' is not the name of a header |
      | a line break in a value | {"a": "1\r\nb: 2"} | '1\r\nb: 2' is not the value of a header |
      | a zero in a value  | {"a": "\u0000"}     | '\x00' is not the value of a header |
      | a name twice       | {"a": "1", "A": "2"} | header A is listed twice     |

  Scenario: The host of a reward call is the value of a header
    When a submission is decoded whose reward call has the host "h\r\nx: y"
    Then it is refused as 'h\r\nx: y' is not the value of a header

  Scenario: Model and length are read in any letters
    When a submission is decoded whose item lists {"MODEL": "m2", "length-hint": "7"}
    Then the listed item is for model m2 and has a length of 7

  Scenario: A caller does not declare the identity of a request away
    Guards against a request without an id or a host, as its caller named them
    in Connection.
    Then Connection: X-A, Host, Attempt-Id leaves Host and Attempt-Id
    And headers that an answer names in Connection are not passed on
    And a relayed call of an earlier build has no header of its connection
