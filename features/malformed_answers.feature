Feature: No answer of a server ends more than its call
  Raw servers, which answer in bytes. Whatever comes back, a call ends with an
  error of its port, which its caller expects: any other one would end the task
  that made the call.

  Scenario Outline: <call> gets malformed answers
    Guards against errors of the parser, of a conversion or of a decoder that
    no caller handles.
    When <call> is answered with each of the malformed answers
    Then each of these calls ended with an error of its port

    Examples: Platform
      | call              |
      | a request         |
      | a stream          |
      | a generation      |
      | a report          |
      | a store read      |
      | a message to peer |

    Examples: Own interface
      | call             |
      | an own call      |
      | an own stream    |
      | an own report    |
      | an own read      |
