Feature: What a daemon imports
  Guards against imports that a daemon has no use for, each of which every host
  pays for in memory and at every start.

  Scenario: A node daemon imports only what its role needs
    When the program of a node daemon is imported
    Then no module of "anvilcove.client anvilcove.soak anvilcove.reports" is
    And no module of "anvilcove.demo anvilcove.standins anvilcove.bench" is
    And no module of "yaml reactivex psutil absl.flags aiohttp.web ssl" is
    And the hashes of keys and rows are those of a process with OpenSSL
