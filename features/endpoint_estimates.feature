Feature: What endpoints can do now is told apart from what they usually do
  Endpoints differ in speed for good and slow down for fractions of a second.

  Scenario Outline: The load <headers> is read as <load>
    Guards against a header of four figures that is dropped as a whole, and
    against malformed figures that are believed.
    Given 1 raw server that answers with the headers <headers>
    When a request is sent to it
    Then the answer is whole and its load is <load>

    Examples:
      | headers                              | load                  |
      | Server-Load: 3,1,8                   | 3,1,8 at 1            |
      | Server-Load: 3,1,8,250               | 3,1,8 at 2.5          |
      | Server-Load: 3 ,1 ,8 ,100            | 3,1,8 at 1            |
      | Server-Load:                         | malformed none        |
      | Server-Load: 3                       | malformed none        |
      | Server-Load: 3,1                     | malformed none        |
      | Server-Load: 3,1,0                   | malformed none        |
      | Server-Load: 3,1,8,100,7             | malformed 3,1,8 at 1  |
      | Server-Load: 3,1,8,250,1,2,3,4,5     | malformed 3,1,8 at 2.5 |
      | Server-Load: -3,1,8                  | malformed none        |
      | Server-Load: -3,1,8,250              | malformed 0,0,0 at 2.5 |
      | Server-Load: 3,1,999999999999        | malformed none        |
      | Server-Load: 3,1,900000,250          | malformed 0,0,0 at 2.5 |
      | Server-Load: 3,1,8,0                 | malformed 3,1,8 at 1  |
      | Server-Load: 3,1,8,100000            | malformed 3,1,8 at 1  |
      | Server-Load: 3,1,8,-250              | malformed 3,1,8 at 1  |
      | Server-Load: 3,1,8,nan               | malformed 3,1,8 at 1  |
      | Server-Load: 3,1,8,                  | malformed 3,1,8 at 1  |
      | Server-Load: a,b,c                   | malformed none        |
      | Server-Load: 3,1,8, Server-Load: 9,9,9 | malformed 3,1,8 at 1 |

  Scenario: Items stay on engines that are slow for 600 ms
    Guards against runs that are cut because an engine is slow for a moment, or
    slower than others for good: three speeds, noise that ends before the item.
    Given 24 engines of 6 slots with three speeds and noise
    When a job of 100 items with 3 long ones starts every 4 s
    Then at most 60 of 1000 items took several runs
    And every job took at most 7.5 s

  Scenario Outline: An engine whose events take <ms> ms for <s> s is <state>
    Guards against items that leave an engine for a bout of slowness, and
    against items that stay on one that has become slow for good.
    Given an engine that names its slowness and takes 40 ms for an event
    When its events take <ms> ms for <s> s
    Then it is <state> and its interval is between <low> and <high> ms

    Examples:
      | ms  | s   | state    | low | high |
      | 100 | 0.6 | not slow | 37  | 43   |
      | 100 | 1.2 | not slow | 37  | 45   |
      | 100 | 2.0 | slow     | 95  | 105  |
      | 240 | 2.0 | slow     | 230 | 250  |
      | 55  | 4.0 | not slow | 37  | 55   |

  Scenario: Slowness fades within a second
    Guards against short items that avoid an engine that has recovered.
    Given an engine that names its slowness and takes 40 ms for an event
    When an answer names a slowness of 2.5
    Then its slowness is between 1.5 and 2.5
    When 1 s pass without news of it
    Then its slowness is between 1.0 and 1.1

  Scenario: Short items avoid momentary slowness, long ones do not
    Guards against long items that are placed by what ends before they do.
    Given engines of the same pace of which one is slow for the moment
    Then 0 of 100 short items start on the slow one first
    And more than 20 of 100 long items do

  Scenario: Equal engines are chosen alike with three and with four figures
    Guards against other decisions where engines have one speed.
    Then 500 choices among equal engines are the same with four figures of 100

  Scenario: Items leave an engine that became slow only if that gains
    Guards against runs that are cut shortly before their end.
    Given an engine that became slow at 100 ms and others at 40 ms
    Then an item with 20 events to go leaves it and one with 3 stays

  Scenario Outline: Calls to uneven endpoints finish sooner: <load>
    Guards against hosts that stay at endpoints that are slow for good or for
    the moment, and against hosts that all go to the same one.
    Given the load <load> on virtual time
    Then the mean latency with four figures is at most that with three figures
    And the mean latency with four figures is at most that with naive

    Examples:
      | load                                  |
      | one call a second at each of 59 hosts |
      | knee at 5 of 6                        |
      | synchronised returns                  |

  Scenario: A further attempt avoids endpoints that are full
    Guards against hedges and retries that add load where there is no slot.
    Given endpoints e0 and e1 of which e0 answered that it is full
    Then 50 further attempts all go to e1
    And they go to e0 if it is the only other one

  Scenario: An endpoint that becomes 6 times slower is avoided after 3 calls
    Guards against an endpoint that still names a light load and its usual
    speed, and that gets calls until a moving average has followed.
    Given endpoints e0 and e1 that have answered 50 calls in 25 ms each
    When e0 answers 3 calls in 150 ms with a light load
    Then 50 further attempts all go to e1
