Feature: Clients of the own interface send the key of a workspace
  Guards against clients that a site with workspaces refuses, and against keys
  that are shown in errors, in the text of settings or in the process list, or
  sent unencrypted where TLS was asked for.

  Scenario: The command line and the library send a key from a file
    Given a site with 2 hosts, 2 services and settings
      """
      log: {level: TRACE}
      """
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 2000}
        - {kind: trainer, name: t, pool: m, model: m, step_within_ms: 60000, max_staleness_versions: 4}
      workspaces:
        # SHA-256 of key-a.
        - {name: a, key_digests: [f10f781241e2246678b6b45c857069208152a53863e47fac33f607ab405006f4]}
      """
    Then the program `call` with these key files gets
      | text         | flags | status | shown                   |
      | key-a\n      |       | 0      | account                 |
      | key-c\n      |       | 1      | a valid key is required |
      | none         |       | 1      | a valid key is required |
      | \n           |       | 1      | one line of printable   |
      | key-a\nkey-c |       | 1      | one line of printable   |
      | \xff key-a   |       | 1      | no API key              |
      | key-a\n      | --tls | 2      | without TLS only        |
    And the trainer library submits a step with key-a, and gets 401 with key-c
    And the text of the settings of clients does not show their key
    And the log of host h1 does not contain key-a
    And the log of host h2 does not contain key-a
