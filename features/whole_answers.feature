Feature: A caller gets the complete answer to its own request
  The scenarios check at the caller that no answer is incomplete or belongs
  to another request when hosts and engines fail.

  Background:
    Given a running site with 2 hosts, 1 engine and 2 services
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 8000}
        - {kind: background, name: postings, pool: account-app, complete_within_ms: 8000}
        - {kind: trainer, name: rollouts, pool: advisor-llm, model: advisor-llm, step_within_ms: 1000, max_staleness_versions: 2}
      """

  Scenario: A client uses another host when a host is killed
    Guards against a client library that keeps using a host that is down.

    When host h1 is killed
    And a client makes 6 lookups
    Then each lookup got its own answer

  Scenario: A stream continues at another host when its host is killed
    Guards against tokens that are lost, duplicated or reordered when a
    stream continues at another host.

    When a client streams 200 tokens and its host is killed after 5
    Then the client received 200 tokens in order and the same tokens in its answer

  Scenario: The example programs run against a site
    Guards against examples that no longer match the client library.

    When the examples counter_lookup and ledger_job are run
    Then the examples succeed

  Scenario: A stream is complete although its engine truncates, crosses and delays it
    Guards against tokens of another request and against a stream that is
    truncated without an error.

    Given the fault switches of the engine are set to {"truncate": 1, "cross_answers": 1, "late_s": 0.05}
    When a client streams 30 tokens
    Then the client received 30 tokens in order and the same tokens in its answer
