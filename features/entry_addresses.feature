Feature: Callers receive the addresses of daemons that run and are not stopping
  Runs the daemons in one process with a store in memory and simulated time.

  Scenario: A daemon that was killed is omitted after its heartbeats stop
    Guards against a time without heartbeats that is counted from the first
    query instead of the last heartbeat.
    Given a platform with 1 engines and daemons a, b and c
    When daemon b is killed
    And 4 s go by
    Then daemon a names the daemons a and c

  Scenario: A daemon that is asked to stop is omitted at once
    Guards against callers that connect to a daemon that is shutting down.
    Given a platform with 1 engines and daemons a, b and c
    When daemon b is asked to stop
    And 0.5 s go by
    Then daemon a names the daemons a and c

  Scenario: All daemons stay listed during a store outage
    Guards against an empty list: no daemon can write its heartbeat then.
    Given a platform with 1 engines and daemons a, b and c
    When the store is unavailable for 8 s
    Then daemon a names the daemons a, b and c

  Scenario: Hosts are named in proportion to what they can carry
    Guards against weak hosts that get as many callers as strong ones, and
    against answers that leave out most hosts of a data centre.
    Given 59 hosts of 0.387 to 2.15 cores in 3 data centres
    When 2000 callers look up the hosts in as many time slots
    Then the busiest host relative to its capacity has at most 0.75 of naive
    And each answer names at least half of the hosts of each data centre

  Scenario Outline: Lookups among <kind> hosts are answered as before
    Guards against other answers where hosts are equal or name no limits.
    Given 59 hosts of <cores> cores in 3 data centres
    When 50 callers look up the hosts in as many time slots
    Then the answers are the same as those of naive

    Examples:
      | kind    | cores    |
      | equal   | 1 to 1   |
      | unknown | 0 to 0   |

  Scenario: Lookups follow capacities if the settings say so
    Guards against a switch without effect.
    Given a daemon with lookups "capacity" among hosts of 0.5 to 2 cores
    Then 0.9 of the hosts or fewer are in all of 20 of its answers

  Scenario Outline: Lookups name all hosts unless the settings say otherwise
    Guards against deployments of unequal hosts that are answered otherwise than
    before, without having asked for it, and against daemons that end at a name
    that they do not know.
    Given a daemon with lookups "<lookups>" among hosts of 0.5 to 2 cores
    Then all hosts are in all of 20 of its answers

    Examples:
      | lookups |
      | naive   |
      | other   |

  Scenario: A capacity is announced, and again when it changes
    Guards against weights that stay when the limits of a host change, and
    against rows of hosts without limits that differ from those of before.
    Given a platform with 1 engines and daemons a, b and c
    Then daemon a knows no capacity of daemon b and its row has no such field
    When the limits of daemon b become 0.5 of 2 cores
    And 3 s go by
    Then daemon a knows a capacity of 1 of daemon b
