Feature: A caller gets the complete answer to its own request
  Answers are checked by the caller against what it asked for.

  Background:
    Given a running site with 2 hosts, 1 engine and 2 services
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 8000}
        - {kind: background, name: postings, pool: account-app, complete_within_ms: 8000}
        - {kind: trainer, name: rollouts, pool: advisor-llm, model: advisor-llm, step_within_ms: 1000, max_staleness_versions: 2}
      """

  Scenario: A client finds another host when its hosts are killed
    Guards against a client library that stays with a host that is gone.

    When host h1 is killed
    And a client makes 6 lookups
    Then each lookup got its own answer

  Scenario: A host is killed in the middle of a stream
    Guards against tokens that are lost, doubled or mixed up when a stream
    goes on at another host.

    When a client streams 200 tokens and its host is killed after 5
    Then the client got 200 tokens in order and the same in its answer

  Scenario: The examples run against a site
    Guards against examples that no longer fit the client library.

    When the examples counter_lookup and ledger_job are run
    Then the examples succeed

  Scenario: An engine truncates, crosses and delays a stream
    Guards against tokens of another request and against a stream that ends
    early without anyone noticing.

    Given the engine switches {"truncate": 1, "cross_answers": 1, "late_s": 0.05}
    When a client streams 30 tokens
    Then the client got 30 tokens in order and the same in its answer
