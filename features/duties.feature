Feature: A duty is performed by one daemon at a time that can perform it
  Daemons on virtual time, with a store and the platform's interface in memory. The
  holder of a duty makes a call each second.

  Scenario Outline: Another daemon takes over from one that fails
    Guards against a duty that nobody performs, against tokens that fall, and against
    calls of two daemons within the time of a lease.
    Given 5 daemons with a duty
    When 6 s go by
    And the holder of the duty <fault>
    And 10 s go by
    Then another daemon has made calls of the duty since
    And no call came too early after that of another holder

    Examples:
      | fault                                  |
      | is killed                              |
      | stops as planned                       |
      | is frozen for 4 s                      |
      | is cut from the interface              |
      | gets no answers                        |
      | has its calls arrive without an answer |

  Scenario: A duty passes on within 6 s of each loss of its holder
    Guards against handovers that are so slow that a report misses its time.
    When the holder of a duty is lost 40 times
    Then the first call of the next one followed within 6 s each time

  Scenario: Work that fails once goes on at the same daemon
    Guards against a duty that is held while its work has ended by an exception.
    Given 5 daemons with a duty
    When 6 s go by
    And the work of the holder of the duty fails 2 times
    And 6 s go by
    Then the same daemon has made calls of the duty since
    And each of the 2 failures of the work was logged

  Scenario: A duty whose work fails each time moves
    Guards against a holder that renews its lease and never performs the duty.
    Given 5 daemons with a duty
    When 6 s go by
    And the work of the holder of the duty fails 1000 times
    And 12 s go by
    Then another daemon has made calls of the duty since
    And no call came too early after that of another holder

  Scenario: A holder whose lease loop fails stops acting and is replaced
    Guards against a lease loop that ends for good at an unexpected error, and against
    a holder that acts, or keeps the lease, although nothing renews it.
    Given 5 daemons with a duty
    When 6 s go by
    And the lease loop of the holder fails once
    Then the former holder does not act for 4 s
    When 8 s go by
    Then another daemon has made calls of the duty since
    And no call came too early after that of another holder
    And 1 failure was logged with its traceback
    When all other daemons are killed
    And 20 s go by
    Then the former holder has the duty again

  Scenario: A holder whose lease loop fails during an announcement stops acting
    Guards against a renewal under way that gives the lease back to a holder whose
    loop failed.
    Given 5 daemons with a duty
    When 6 s go by
    And the lease loop of the holder fails while it announces a call
    Then the former holder does not act for 3 s
    When 8 s go by
    Then another daemon has made calls of the duty since
    And no call came too early after that of another holder

  Scenario: Daemons of an older build are no candidates
    Guards against a duty that nobody holds while hosts are replaced in turn.
    Given 5 daemons of which only the last 2 in the order of a duty know it
    When 8 s go by
    Then calls of the duty have arrived since

  Scenario: Only the candidates poll the row of a duty
    Guards against a load on the store that grows with the number of hosts.
    Given 8 daemons with a duty
    When 10 s go by
    Then at most 3 daemons have read the row of the duty in 5 s

  Scenario: A duty whose interface is away for all stops moving
    Guards against a duty that moves back and forth for ever.
    Given 5 daemons with a duty
    When 6 s go by
    And the interface is away for 120 s
    Then the duty has moved at most 14 times, at most 5 times in the last 60 s
    When the interface is back
    And 6 s go by
    Then calls of the duty have arrived since
    And no call came too early after that of another holder

  Scenario: The holder keeps a duty through refusals and slow answers
    Guards against moves that help nobody.
    Given 5 daemons with a duty
    When 6 s go by
    And the interface throttles calls and is 50 times slower for 20 s
    Then the duty has moved at most 0 times, at most 0 times in the last 20 s

  Scenario: Without an interface in the settings there are no duties
    Guards against rows and fields that older builds do not know.
    Given 3 daemons without duties
    When 6 s go by
    Then no row of the store mentions duties

  Scenario: Calls of all duties together keep to the permitted rate
    Guards against refused calls when much is to be sent at once.
    Given 5 daemons with a duty that calls without pause
    When 10 s go by
    Then the interface got at most 50 calls in any second, and 100 in all

  Scenario Outline: The client tells what became of a call
    Guards against a call that counts as failed although it was refused, and against
    headers that the platform does not know.
    Given a stand-in of the interface that takes 3 calls a second
    When a report with fence 7 meets an interface that <course>
    Then the call <outcome> and <count> calls with fence 7 have arrived

    Examples:
      | course                | outcome                  | count |
      | answers               | is answered              | 1     |
      | is over its rate      | is throttled             | 3     |
      | resets connections    | is unanswered            | 0     |
      | loses its answer      | is unanswered            | 1     |
      | accepts no connection | is unanswered and unsent | 0     |
      | has no servers there  | finds none available     | 0     |

  Scenario: A call that was given up does not arrive afterwards
    Guards against a call that the kernel or the client's buffer delivers after the
    lease has passed to another holder.
    When a report of 10000 workspaces is given up as its server does not read
    Then the server can't read the whole report afterwards

  Scenario: Random faults break no rule of a duty
    Guards against two holders that act at once, tokens that fall, holders that
    alternate, and a duty that is left to a host that cannot perform it.
    Given a state machine of a duty over 4 daemons
    When it runs 25 sequences of up to 12 steps
    Then no sequence has broken a rule

  Scenario: Status and metrics name the holder of a duty
    Guards against an outage of a duty that no operator can see.
    Given 5 daemons with a duty
    When 8 s go by
    Then the candidates' status and metrics name the holder of the duty
