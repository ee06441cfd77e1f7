Feature: The status and the metrics show the state that a daemon knows
  Real daemons on loopback addresses.

  Scenario: The status lists hosts, endpoints, versions and jobs
    Guards against a version or a desired state that does not reach all hosts
    without an operator seeing which ones it has not reached.
    Given a site of 2 daemons that logs to files
    When a job is submitted and run to its end
    And the status of the first daemon is printed
    Then it lists both hosts with the desired state that they apply
    And it lists every endpoint, the version wanted and held, and the job
    When the metrics of the first daemon are read
    Then they show the share of requests on time and the desired state age
