Feature: Only the status of a final answer is one
  Raw servers, which answer in bytes. A status line can hold any three digits;
  of these 200 to 599 are those of final answers. Interim answers come before
  one, and no call asks to switch protocols.

  Scenario Outline: <call> is answered with each status from 000 to 999
    Guards against a status that is none, such as 000, which is taken for an
    answer and passed on.
    When <call> is answered with each status
    Then each status that is not final failed with an error of its port
    And the final ones are taken as <taken>

    Examples:
      | call                     | taken     |
      | a request                | they are  |
      | a request through a peer | they are  |
      | a stream                 | they are  |
      | a generation             | failures  |
      | a report                 | failures  |
      | an order                 | outcomes  |
      | a store read             | failures  |
      | a message to a peer      | failures  |
      | an own call              | failures  |
      | an own stream            | failures  |
      | an own report            | failures  |
      | an own read              | failures  |
      | an own write of objects  | failures  |

  Scenario Outline: <call> whose final answer follows interim ones is answered
    Guards against an interim answer that is taken for the final one, and
    against one that hides it.
    When <call> is answered with the interim status <interim> and a whole answer
    Then the call with interim answers <outcome>

    Examples:
      | call         | interim       | outcome  |
      | a request    | 100           | succeeds |
      | a request    | 102, 103, 199 | succeeds |
      | a stream     | 103           | succeeds |
      | a generation | 100, 103      | succeeds |
      | a request    | 101           | fails    |
      | a stream     | 101           | fails    |
      | a generation | 101           | fails    |
      | a report     | 101           | fails    |
      | a request    | 103, 101      | fails    |

  Scenario Outline: A caller whose server answers <status> on a <kind> route gets <seen>
    Guards against callers that are shown a status which is none.
    Given 2 raw servers of which the first one asked answers status <status>
    When a request is forwarded on a <kind> route with 2 attempts
    Then the caller gets status <seen>
    And the request ran <runs> times

    Examples:
      | status | kind   | seen | runs |
      | 000    | safe   | 200  | 2    |
      | 099    | safe   | 200  | 2    |
      | 101    | safe   | 200  | 2    |
      | 600    | safe   | 200  | 2    |
      | 999    | safe   | 200  | 2    |
      | 000    | unsafe | 502  | 1    |
      | 101    | unsafe | 502  | 1    |
      | 600    | unsafe | 502  | 1    |
      | 204    | safe   | 204  | 1    |
      | 204    | unsafe | 204  | 1    |

  Scenario Outline: A stream whose server answers <answer> goes on elsewhere
    Guards against a status that is none in front of a stream.
    Given 3 raw servers for streams
    And the first one asked answers <answer>
    When a resumable stream with 3 attempts is requested
    Then the caller gets the events 1 to 4, each once, and the end

    Examples:
      | answer          |
      | 000 with events |
      | 101 with events |
      | 600 with events |

  Scenario Outline: A reward call goes on though a server answers <status>
    Guards against a status that is taken for a score, or ends an item.
    Given 2 raw servers of which the first one asked answers status <status>
    When an owed call is made on a safe route
    Then the caller gets status 200

    Examples:
      | status |
      | 000    |
      | 999    |
