Feature: An operator sees what a daemon knows
  Real daemons on loopback addresses.

  Scenario: Hosts, endpoints, versions and jobs
    Guards against a version or a desired state that does not spread without
    anybody seeing where it stopped.
    Given a site of 2 daemons that logs to files
    When a job is submitted and run to its end
    And the status of the first daemon is printed
    Then it names both hosts with the desired state in force
    And it names every endpoint, the version wanted and held, and the job
    When the metrics of the first daemon are read
    Then they hold the share of requests on time and the age of the desired state
