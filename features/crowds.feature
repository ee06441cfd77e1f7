Feature: Clients that use up what a daemon has harm no others
  Each client keeps the limits of requests, or breaks them at one place; there
  are many of them. Real processes on loopback addresses. The bound is the
  memory of the host: resident bytes, and those that the system has received
  and the process has not read.

  Scenario Outline: <count> clients of <listener> with <kind>
    Guards against a process that is ended for its memory, one that has no
    descriptor left, and one that answers nobody any more.
    Given a daemon with 120 MiB, 300 descriptors and bodies of up to 4 MiB
    When <count> clients of <listener> come with <kind>
    Then the daemon lives and stayed within its limits
    And an ordinary request is answered

    Examples: Bodies with a length
      | count | listener   | kind                               |
      | 60    | requests   | whole bodies                       |
      | 60    | requests   | whole bodies in pieces             |
      | 100   | requests   | bodies without their last byte     |
      | 200   | requests   | small bodies without their last byte |
      | 200   | requests   | small bodies                       |
      | 100   | requests   | bodies that wait for 100 Continue  |
      | 60    | requests   | compressed bodies                  |
      | 60    | requests   | compressed bodies without an end   |
      | 60    | unknown    | whole bodies                       |
      | 60    | submissions | whole bodies                      |
      | 100   | submissions | bodies without their last byte    |
      | 100   | job reads  | bodies without their last byte     |

    Examples: Bodies in chunks
      | count | listener   | kind                               |
      | 100   | requests   | large chunks without an end        |
      | 100   | requests   | one chunk without its end          |
      | 100   | requests   | small chunks without an end        |
      | 60    | requests   | many small chunks without an end   |
      | 60    | requests   | chunk extensions without an end    |
      | 60    | requests   | trailers without an end            |
      | 60    | unknown    | many small chunks without an end   |

    Examples: Heads and connections
      | count | listener   | kind                               |
      | 100   | requests   | heads without their end            |
      | 100   | requests   | one header without its end         |
      | 40    | requests   | pipelined requests                 |
      | 100   | requests   | pipelined heads                    |
      | 400   | requests   | idle connections                   |

    Examples: Just below a limit, and with Expect at other listeners
      | count | listener   | kind                               |
      | 100   | requests   | heads below the limit              |
      | 100   | peers      | heads below the limit              |
      | 100   | requests   | chunks of 64 bytes without an end  |
      | 100   | lookups    | bodies that wait for 100 Continue  |
      | 100   | peers      | bodies that wait for 100 Continue  |

    Examples: Answers
      | count | listener      | kind                            |
      | 100   | large answers | answers that are not read       |
      | 60    | large answers | many answers that are not read  |
      | 60    | large answers | answers on kept connections     |
      | 100   | large streams | answers that are not read       |
      | 100   | fast streams  | answers that are not read       |
      | 40    | metrics       | many answers that are not read  |
      | 60    | stalled servers | whole bodies                  |

    Examples: Other listeners
      | count | listener   | kind                               |
      | 100   | readiness  | bodies without their last byte     |
      | 100   | readiness  | heads without their end            |
      | 400   | readiness  | idle connections                   |
      | 100   | lookups    | whole bodies                       |
      | 100   | lookups    | heads without their end            |
      | 60    | lookups    | many small chunks without an end   |
      | 60    | peers      | whole bodies                       |
      | 100   | peers      | bodies without their last byte     |
      | 100   | peers      | heads without their end            |
      | 60    | peers      | many small chunks without an end   |
      | 100   | metrics    | one header without its end         |
      | 400   | peers      | idle connections                   |

  Scenario: Memory is given back on connections that stay open
    Guards against bodies that are kept behind their answers.
    Given a daemon with 120 MiB, 300 descriptors and bodies of up to 4 MiB
    When 35 clients bring whole bodies, and as many others while they stay
    Then the daemon lives and stayed within its limits
    And an ordinary request is answered

  Scenario Outline: A body of <size> bytes is served in calm, <how>
    Guards against limits that a client inside those of the pages meets on the
    smallest host.
    Given a daemon with 160 MiB, 3075 descriptors and bodies of up to 32 MiB
    When one request with a body of <size> bytes comes <how>
    Then its status is 200 and the server has got the whole body
    And the daemon lives and stayed within its limits

    Examples:
      | size     | how                   |
      | 33554432 | with a length         |
      | 33554432 | in chunks of 65536    |
      | 200000   | in chunks of 1        |
      | 65536    | with a length         |
