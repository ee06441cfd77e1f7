Feature: Invalid input is rejected without affecting valid input
  Property tests of every decoder of the platform adapter. Hypothesis runs
  without a random seed, so that each run generates the same examples.

  Scenario: An invalid endpoint row does not affect other rows
    Guards against a row of another writer that ends the watch or hides other
    endpoints.
    Given endpoint rows with arbitrary content next to a valid row
    Then the valid endpoint is registered and no row raises an error

  Scenario: An invalid operator row does not affect the desired state
    Guards against a row that ends the watch of the desired state.
    Given operator rows with arbitrary content next to a valid desired state
    Then the valid desired state is in force and no row raises an error

  Scenario: An invalid submission is refused with a reason
    Guards against a submission that raises an unexpected error in the daemon.
    Given submissions with arbitrary content
    Then each is decoded to a job or refused with a reason

  Scenario: An invalid settings file is refused with a reason
    Guards against a daemon that starts with settings that it cannot decode.
    Given settings files with arbitrary content
    Then each is loaded or refused with a reason

  Scenario: An invalid store response is reported as a store error
    Guards against a watch that ends because a response is not in the format
    of the store.
    Given store responses with arbitrary content
    Then each is a page of rows or a store error

  Scenario: A truncated or corrupted event stream yields only consecutive events
    Guards against a text with a missing, repeated or truncated event.
    Given event streams with arbitrary truncation and changed bytes
    Then decoded events are consecutive, with the original texts if unchanged

  Scenario: A desired state of 10,000 routes is searched by host
    Guards against a search through all routes for each request, after an
    operator has added thousands of them.
    Given a desired state of 10000 routes of 500 hosts, in random order
    Then each host has 20 routes, of which the longest matching prefix is used
    And a host or path that no route has is not found

  Scenario Outline: An endpoint row with <oddity> does not affect other rows
    Guards against values that pass the checks of a decoder and fail in a
    conversion after it: they ended the watch of endpoints on all hosts.
    Given an endpoint row with <oddity> next to a valid row
    Then only the valid endpoint is registered

    Examples:
      | oddity                             |
      | a superscript digit in its port    |
      | Arabic digits in its port          |
      | a port of 5000 digits              |
      | port 0                             |
      | port 65536                         |
      | a host name instead of an address  |
      | a line end in its address          |
      | a start time of 4299 digits        |
      | a slot count of 400 digits         |
      | a version of 40 digits             |
      | a state nested 900 deep            |
      | a service nested 900 deep          |
      | models nested 900 deep             |
      | an unknown field nested 100000 deep|

  Scenario: A row that its reader cannot apply is skipped and counted
    Guards against a watch that ends, or loses the other rows of an answer,
    as one row raises an error that nobody foresaw.
    Given a watch whose reader fails at the row bad
    When the rows a, bad and b are there before it starts
    And the rows c, bad and d change after that
    Then the rows a, b, c and d were applied
    And at least 2 rows were counted as skipped
    And the watch goes on

  Scenario Outline: A number that is not ASCII in <header> is ignored
    Guards against digits that pass a check of characters and fail in the
    conversion to a number: a caller got 404 for a job that exists.
    When a caller sends <header> with the value 1²
    Then it is served as without the header

    Examples:
      | header      |
      | Deadline-Ms |
      | Wait-Ms     |
      | Length-Hint |

  Scenario Outline: An entry of the membership list with <oddity> hides no other
    Guards against a list that no host of the own interface can read any more:
    they kept the one before, without the endpoints that came later.
    Given a membership list of a host, an endpoint and an entry with <oddity>
    Then the host and the endpoint are read from it

    Examples:
      | oddity                            |
      | a port out of range               |
      | a superscript digit in its port   |
      | a line end in its address         |
      | no address                        |
      | a number as its address           |
      | an unknown field                  |
      | a number of 5000 digits           |
      | an unknown field nested 100000 deep |
      | a string for an entry             |

  Scenario Outline: A membership list <state> is not taken for an empty one
    Guards against hosts that forget all others since nothing could be read.
    Given a membership list <state>
    Then it is reported as unavailable

    Examples:
      | state                      |
      | without a sound entry      |
      | that is cut                |
      | nested 100000 deep         |
