Feature: What a daemon spends on control does not grow with the fleet
  Daemons in one process on virtual time, with a store in memory that limits
  transactions as the platform's store does. The pattern: a fleet of many hosts
  with little work each, where every host reads what every other writes.

  Scenario: A daemon that only follows reads as much in a larger fleet
    Guards against daemons that each read the heartbeat of every other one, so
    that the rows read in the fleet grow with the square of its size.
    Given a platform with 2 engines and a fleet of 24 daemons
    When the fleet is idle for 100 s
    Then the daemons that only follow read at most 9000 bytes a second each
    Given a platform with 2 engines and a fleet of 72 daemons
    When the fleet is idle for 100 s
    Then the daemons that only follow read at most 9000 bytes a second each
    And they read at most 1.2 times as many rows as in the smaller fleet

  Scenario: A fleet that starts at once does not read all heartbeats at once
    Guards against a start of all hosts at which each takes itself for one of
    the next holders, as it knows no other daemon yet.
    Given a platform with 2 engines and a fleet of 24 daemons
    Then at most 8 daemons have read heartbeats since the start

  Scenario Outline: Lost daemons are dropped by all within the recovery time
    Guards against lookups that name lost daemons for long, because nobody but
    the lost ones followed the heartbeats: the pattern of a rack that loses
    power with the daemon that gives the orders, or with all its successors.
    Given a platform with 2 engines and a fleet of 12 daemons
    When <lost> are lost
    Then within <seconds> s all others know exactly the remaining ones as alive

    Examples:
      | lost | seconds |
      | one follower | 5 |
      | the holder of the orders | 12 |
      | the holder and its first successors | 12 |
      | half of the daemons with the holder | 12 |

  Scenario: A daemon that could not write for a while is alive again
    Guards against a daemon that stays lost after its suspension.
    Given a platform with 2 engines and a fleet of 8 daemons
    When a follower writes nothing for 6 s
    Then all others know it as lost
    And within 3 s all others know exactly the remaining ones as alive

  Scenario: A daemon whose row was removed announces itself again
    Guards against a daemon that is back after a long partition and that nobody
    knows any more, since heartbeats alone do not tell its addresses.
    Given a platform with 2 engines and a fleet of 4 daemons
    When the announcement of a follower is removed
    Then within 3 s all others know exactly the remaining ones as alive

  Scenario: A late write does not bring a leaving daemon back
    Guards against a daemon that stops as planned and gets callers again,
    because the store applies an older announcement of it after the last one.
    Given a platform with 2 engines and a fleet of 4 daemons
    When a follower announces that it leaves
    And the store applies its announcement before that once more
    Then within 3 s no other daemon knows it as alive

  Scenario: A new holder of the orders keeps the lost daemons out
    Guards against lost daemons that get callers again while the next holder
    waits for their heartbeats.
    Given a platform with 2 engines and a fleet of 8 daemons
    When one follower is lost and 5 s go by
    And the holder of the orders stops as planned
    Then no daemon knows the lost follower as alive in the next 6 s

  Scenario: A daemon of the version before is alive while its row changes
    Guards against daemons of an older version that count as lost during an
    upgrade: they write no heartbeats, but their row each second.
    Given a platform with 2 engines and a fleet of 6 daemons
    When a daemon that writes only its row each second runs for 8 s
    Then all daemons of the fleet knew it as alive from its first second on
    And within 5 s after it ends all of them know it as lost

  Scenario: The rows of many lost daemons are removed
    Guards against a removal that the store rejects because it has too many
    entries: a fleet of 195 hosts that loses more than half of them.
    Given a platform with 2 engines and a fleet of 3 daemons
    And 150 rows of daemons that no longer run
    When 25 s go by in the platform
    Then the store has rows of the 3 daemons only

  Scenario: A change that all daemons make is announced over a longer time
    Guards against a new desired state that makes every daemon write a row that
    every other one reads at once.
    Given a platform with 2 engines and a fleet of 24 daemons
    When the desired state changes
    Then every daemon announces it within 5 s, and at most 35 do so in a second

  Scenario: A daemon reads the table of jobs at once if somebody waits there
    Guards against results that wait for the next read of a daemon that only
    follows.
    Given a platform with 2 engines and a fleet of 12 daemons
    And a batch job at the first daemon that takes a few seconds
    When a follower waits for a change of the job 20 times
    Then it learned of each change within 0.2 s

  Scenario: A read that does not wait shows results of half a second ago
    Guards against a trainer that is told of no results by daemons that only
    follow, each of which has read the table of jobs some time ago.
    Given a platform with 2 engines and a fleet of 12 daemons
    And a batch job at the first daemon that takes a few seconds
    When the results are read without a wait, 60 times at followers in turn
    Then each read has all results that were stored 0.5 s before

  Scenario: Waiting items are looked at by what they need
    Guards against a search through all waiting items at each released slot, as
    with several trainers that wait for the engines of one pool.
    Given 4 engines with 2 slots for models m0, m1 and m2
    When 600 items of the models wait for slots in random order of their ranks
    And slots are released one at a time until all items have had one
    Then the items of each model got their slots in the order of their ranks
    And each release looked at no more than 4 items
