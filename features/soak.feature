Feature: Real daemons keep the guarantees of the service under faults
  Daemons as separate processes on loopback addresses, with a stand-in of the
  users' platform and injected faults. Seeds that have failed are listed below
  with their cause.

  Scenario: A short run without faults answers all kinds of requests
    Guards against a request path that works only in the users' benchmark.
    Given a soak test with seed 7 and 0 faults in 5 s
    Then no guarantee was broken
    And every kind of request was answered
    And every log line of the daemons is one JSON object

  Scenario: Engines below the minimum are ordered and start
    Guards against parts that work only where a test has imported them: the
    daemon ordered nothing, as its policy was never registered.
    Given a soak test with 3 spare engines, seed 7 and 0 faults in 8 s
    Then no guarantee was broken
    And sizes were ordered

  Scenario: Callers that read one byte per second harm no others
    Guards against daemons that hold more than their bound, that end nobody
    at it, and against other calls that fail with the ones that are ended.
    Given a soak test with 6 slow readers, seed 7 and 0 faults in 6 s
    Then no guarantee was broken
    And slow readers were ended

  Scenario: Crowds of clients that use up memory harm no others
    Guards against daemons that are ended by such clients, and against sound
    calls that fail with theirs.
    Given a soak test with crowds of 20 clients, seed 7 and 0 faults in 8 s
    Then no guarantee was broken
    And crowds came and every kind of request was answered

  Scenario: Engines that are sold out or taken back cut no run
    Guards against items that still run when the platform takes an engine, and
    against jobs that are lost while the engine cannot be replaced.
    Given a soak test with 2 reclaimable engines that are sold out and taken
    Then no guarantee was broken
    And 2 engines were taken without a run that was cut, and not replaced

  Scenario: A short run with faults breaks no guarantee
    Guards against failures that occur only between real processes.
    Given a soak test with seed 40 and 6 faults in 8 s
    Then no guarantee was broken

  Scenario: A second build adds one upgrade to the faults of a seed
    Guards against runs with and without a second build that differ in their
    other faults, so that a violation cannot be assigned to the upgrade.
    When the faults of seeds 1 to 20 are planned with and without a build
    Then those with a build have one upgrade more and are else the same

  Scenario: Two faults that start the same daemon leave one process
    Guards against a process that is never ended. Seeds 208 to 221 failed
    because of one: daemons started later found their address in use.
    Given a site of 2 daemons that logs to files
    When two faults kill and start the same daemon at once
    Then exactly one process of it is running
    And stopping the site leaves no process running

  Scenario: Large steps, odd headers and split routes that change
    Guards against daemons that exceed their memory, bodies that are framed by
    a listed header, and work that waits for a service which can't serve it.
    Given a soak test of "large steps, odd headers of items, split routes change" with seed 67 and 6 faults in 6 s
    Then no guarantee was broken
