Feature: Background tasks live as long as their process
  A daemon needs its watches, leases and heartbeats until it stops. The
  scenarios run on virtual time.

  Scenario Outline: A task that <ends> is started again
    Guards against a daemon that lives on without a part of it, which only a
    line in its log tells.
    Given a background task that <ends> 3 times and then runs
    When 10 s go by for the task
    Then it was started 4 times and runs
    And its 3 ends and their cause <cause> are in the status
    And each end was counted

    Examples:
      | ends                      | cause                 |
      | raises an error           | ValueError('odd row') |
      | returns                   | returned              |
      | is cancelled from within  | cancelled from within |
      | exhausts the stack        | RecursionError('x')   |

  Scenario: A task that ends at once is started at growing intervals
    Guards against a loop of failures that takes the processor.
    Given a background task that raises an error 1000 times and then runs
    When 60 s go by for the task
    Then it was started at most 20 times

  Scenario: A stop ends the tasks for good
    Guards against a daemon that starts tasks again while it ends.
    Given a background task that raises an error 0 times and then runs
    When the background tasks are cancelled
    Then it was started 1 times and has ended

  Scenario: The status of a daemon names a task that ended
    Guards against operators who cannot see that a part of a daemon failed.
    Given a platform with 1 services and 1 daemons
    When the task usage meter of daemon d0 ends with an error
    Then the status of daemon d0 names the task usage meter and its cause
    And its metrics count 1 end of the task usage meter

  Scenario: The status of a daemon without an answer of the store is valid JSON
    Guards against a status that only lenient parsers read: the age of what was
    never read is infinite.
    Given a platform with 1 services and 1 daemons
    When the store does not answer for endpoints and daemon new starts
    Then the status of daemon new is valid JSON and prints as a table
