Feature: Trainers of the own interface are kept apart by workspace
  Guards against a customer who reads, ends or replaces the steps of another.

  Scenario: A trainer belongs to the workspace that submitted its first step
    Guards against a check only at the host that took the submission, and
    against steps of the time before there were workspaces that nobody can read
    any more. Also guards against rows of steps that the build before rejects.
    Given the declarations plain
      """
      classes:
        - {kind: trainer, name: t, pool: m, model: m, step_within_ms: 60000, max_staleness_versions: 4}
      """
    And the declarations shared
      """
      classes:
        - {kind: trainer, name: t, pool: m, model: m, step_within_ms: 60000, max_staleness_versions: 4}
      workspaces:
        # SHA-256 of key-a and key-b.
        - {name: a, key_digests: [f10f781241e2246678b6b45c857069208152a53863e47fac33f607ab405006f4]}
        - {name: b, key_digests: [a30534a53b23547377ddccbd1ac85a8a84c13db43493c16e55a6abc7b0eba634]}
      """
    And a ready site with 3 hosts in 3 data centres
    And the declarations plain are applied at host h1 as revision 1
    Then host h2 becomes ready with revision 1
    And these calls on steps get
      | call     | hosts | key  | status |
      | submit 1 | h1    | none | 200    |
    When the declarations shared are applied at host h1 as revision 2
    Then host h2 becomes ready with revision 2
    And these calls on steps get
      | call     | hosts  | key   | status |
      | submit 1 | h1, h2 | none  | 401    |
      | submit 1 | h1, h2 | key-b | 200    |
      | read 1   | h1, h2 | key-b | 204    |
      | ack 1    | h1, h2 | key-b | 409    |
      | submit 2 | h1, h2 | key-a | 200    |
      | submit 2 | h1, h2 | key-b | 404    |
      | submit 3 | h1, h2 | key-b | 404    |
      | read 2   | h1, h2 | key-b | 404    |
      | read 9   | h1, h2 | key-b | 404    |
      | ack 2    | h1, h2 | key-b | 404    |
      | read 1   | h1, h2 | key-b | 404    |
      | read 2   | h1, h2 | key-a | 204    |
      | ack 2    | h1, h2 | key-a | 409    |
    And the row of trainer t names workspace a, no row of a step names one
