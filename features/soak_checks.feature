Feature: The checks of the soak report faults of daemons only
  The checks on virtual time, with records of a site that no daemon uses.

  Scenario Outline: An item that waits is lost only while an engine has room
    Guards against a check that reports items for which no engine had a slot
    or that overlooks items which are not placed.
    Given an engine whose slots are <slots>
    And an item with early crashes that runs again <again> s after its crash
    Then the check of placements reports <count> violations

    Examples:
      | slots                    | again | count |
      | free                     | 4     | 0     |
      | free                     | 6     | 1     |
      | free of an older version | 6     | 0     |
      | taken                    | 6     | 0     |
      | taken for the first 3 s  | 6     | 0     |
      | taken for the first 3 s  | 9     | 1     |

  Scenario Outline: A limit counts the time in which a process could run
    Guards against a check that reports a daemon which got no processor or
    overlooks a daemon which is blocked.
    Given a process that ends after <ends> s and waits <share> of the time for a processor
    Then it is <outcome> its limit of 6 s

    Examples:
      | ends | share | outcome |
      | 5    | 0.0   | within  |
      | 7    | 0.0   | over    |
      | 7    | 0.05  | over    |
      | 9    | 0.5   | within  |
      | 15   | 0.5   | over    |

  Scenario Outline: A stopping daemon answers what it has accepted
    Guards against requests that a planned stop cuts off, or a check that
    expects an answer in time from a daemon without a processor.
    Given a request to a stopping daemon that waited <waited> s for a processor
    Then status <status> is <verdict> for a request that has <state>

    Examples:
      | waited | status | verdict | state   |
      | 0.0    | 200    | allowed | run     |
      | 0.0    | 504    | broken  | run     |
      | 0.7    | 504    | broken  | run     |
      | 1.0    | 504    | allowed | run     |
      | 0.0    | 503    | allowed | not run |
      | 9.0    | 503    | broken  | run     |
      | 9.0    | 0      | broken  | run     |
      | 9.0    | 404    | broken  | not run |

  Scenario Outline: Jobs have their time while no server is down
    Guards against jobs that count as incomplete while owed calls crash servers,
    or a run that waits for servers without end.
    Given servers that are down from <from> s to <to> s after the last fault
    Then the time for jobs is up after <up> s

    Examples:
      | from | to  | up |
      | 0    | 0   | 15 |
      | 2    | 12  | 25 |
      | 0    | 999 | 75 |
