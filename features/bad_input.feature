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
