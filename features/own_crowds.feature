Feature: Clients that use up what a daemon has harm no others, own interface
  The same crowds as at the users' platform, at the listener of the product's
  own interface. The bound is the memory of the host.

  Scenario Outline: <count> clients of <path> with <kind>, own interface
    Guards against a process that is ended for its memory, and one that
    answers nobody any more.
    Given a running host with 160 MiB and bodies of up to 2 MiB
    When <count> clients come to <path> with <kind>
    Then the host lives and stayed within its memory
    And an ordinary request is answered by the host

    Examples:
      | count | path         | kind                               |
      | 100   | /v1/requests | whole bodies                       |
      | 200   | /v1/requests | bodies without their last byte     |
      | 200   | /v1/requests | large chunks without an end        |
      | 100   | /v1/requests | one chunk without its end          |
      | 100   | /v1/requests | small chunks without an end        |
      | 60    | /v1/requests | many small chunks without an end   |
      | 100   | /v1/requests | compressed bodies                  |
      | 100   | /v1/requests | heads without their end            |
      | 100   | /v1/requests | one header without its end         |
      | 60    | /v1/requests | pipelined requests                 |
      | 100   | /v1/requests | echoed requests                    |
      | 100   | /v1/requests | echoed requests that are not read  |
      | 1     | /v1/requests | requests of many fields            |
      | 40    | /v1/requests | requests of many fields            |
      | 100   | /healthz     | bodies without their last byte     |
      | 60    | /healthz     | many small chunks without an end   |
      | 100   | /healthz     | pipelined heads                    |
      | 100   | /peer/gossip | whole bodies                       |
