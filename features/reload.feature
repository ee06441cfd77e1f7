Feature: A running daemon reloads its settings
  Real daemons on loopback addresses.

  Scenario: Changed settings are reloaded with and without a signal
    Guards against bounds that change only at the next start, and against a
    daemon that ends because it reads its settings file while it is being
    written.
    Given a site of 2 daemons that logs to files
    When the bounds in the settings file change and the daemon gets SIGHUP
    Then its log reports that bounds were reloaded
    When the seed nodes in the settings file change without a signal
    Then its log reports that seed_ips were reloaded
    When the settings file is truncated
    Then its log reports that the settings could not be read
    And the daemon answers a request
