Feature: What clients make a process keep is on one account
  Listeners on loopback addresses within the process of the test.

  Scenario Outline: Nothing is held behind <requests>
    Guards against connections that are ended for memory which was returned, or
    memory that stays until the next request.
    Given a listener that reads bodies and answers
    When a client sends <requests> and keeps its connection
    Then its answers have status 200
    And nothing is held for it

    Examples:
      | requests                         |
      | a body of 40000 bytes in 9 parts |
      | a body of 500000 bytes in 1 part |
      | 3 bodies of 20000 bytes          |
      | a body in chunks of 1 byte       |

  Scenario: Memory is held for what arrives
    Guards against states of a connection that are counted nowhere.
    Given a listener that reads bodies and answers
    When a client sends 50000 bytes of a body that has no end
    Then between 50000 and 200000 bytes are held for it
    When it leaves
    Then nothing is held for it

  Scenario: Nothing is held for a client that leaves before its answer
    Guards against a handler that counts a connection which has ended.
    Given a listener that reads bodies and answers
    When a client sends a request that waits for its answer
    And it leaves
    Then nothing is held for it, also when its handler has ended

  Scenario: A head that is too large is refused
    Guards against heads of megabytes, line by line.
    Given a listener that reads bodies and answers
    When a client sends 100 header lines of 1000 bytes
    Then it gets status 431 and its connection is closed
    And 1 closed connection is counted for its head

  Scenario: At the limit, the oldest idle connection of the largest listener goes
    Guards against newcomers, clients of other listeners and requests in flight
    that are closed for a crowd.
    Given two listeners that share 6 connections
    When 1 client of the second listener and 5 of the first connect in turn
    And the first of the 5 has sent a request that waits for its answer
    And one more client of the first listener connects
    Then only the second of the 5 is closed

  Scenario: Connections that take long to parse read in turn
    Guards against many of them that hold the event loop together.
    Given connections that wait for their turns
    When the loop goes on
    Then one reads at a time, in the order of their arrival
