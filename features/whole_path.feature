Feature: A request passes from a caller through a daemon to an endpoint
  Guards against a daemon that starts but does not serve requests.

  Scenario: A caller gets the answer of a service through a daemon
    Given a running site with 2 hosts, 1 engine and 2 services
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 500}
        - {kind: trainer, name: rollouts, pool: advisor-llm, model: advisor-llm, step_within_ms: 1000, max_staleness_versions: 2}
      """
    When a caller sends {"account": 7} to class lookup at host h2
    Then the outcome is answered
    And the answer echoes {"account": 7}

  Scenario: A generation reports the weight version of its tokens
    Given a running site with 1 host, 1 engine and 1 service
    And the class declarations
      """
      classes:
        - {kind: trainer, name: rollouts, pool: advisor-llm, model: advisor-llm, step_within_ms: 1000, max_staleness_versions: 2}
      """
    When a caller sends {"prompt": "p", "max_tokens": 4} to class rollouts at host h1
    Then the outcome is answered
    And the answer has 4 tokens of version 0
