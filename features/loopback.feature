Feature: Runs at the same time share no addresses
  Test runs on one machine start processes on loopback addresses. Guards
  against a process that finds its address in use, and against a test that
  reaches the processes of another run.

  Scenario: Each run has a subnet of its own
    Given 3 reserved loopback subnets
    Then they differ from each other and from one that another process reserves

  Scenario: A subnet stays reserved until its last process has ended
    Given 1 reserved loopback subnets
    And a process that inherits the reservation
    When the reservation is released
    Then the subnet is not free
    When the process is killed
    Then the subnet is free

  Scenario: Outgoing connections cannot occupy a planned address
    Given 1 reserved loopback subnets
    Then its ports are below those of outgoing connections

  Scenario: Two soak sites at once keep their desired states apart
    Given two soak sites of 1 daemon at once
    When the desired state of the first gets one more route
    Then the daemon of the first serves the route, that of the second does not
