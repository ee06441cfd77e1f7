Feature: Settings change while a daemon runs
  Real daemons on loopback addresses.

  Scenario: Settings change with and without a signal
    Guards against old bounds that hold until the next start, also against a
    daemon that ends because its settings are just being written.
    Given a site of 2 daemons that logs to files
    When the settings get other bounds and the daemon gets SIGHUP
    Then its log tells that bounds hold now
    When the settings get other seeds without a signal
    Then its log tells that seed_ips hold now
    When the settings file is cut in half
    Then its log tells that the settings were not read
    And a request is answered by it
