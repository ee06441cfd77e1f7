Feature: Only valid and authorized calls have an effect
  Guards against missing checks of keys, bodies, connections and TLS, and
  against secrets in the logs.

  Scenario: Operator and peer routes require their own key
    Guards against a caller who changes the configuration, stops a daemon or
    sends it forged announcements, and against operator routes that accept
    the key of peers.
    Given a site with 2 hosts, 2 services and settings
      """
      {}
      """
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 500}
      """
    Then each of these calls to host h1 is refused with 401
      | method | path          | key                | body                                                                             |
      | GET    | /v1/classes   | none               |                                                                                  |
      | GET    | /v1/classes   | demo-peer-key      |                                                                                  |
      | PUT    | /v1/classes   | demo-operator-kez  | {"expected_revision": 1, "document": {"classes": []}}                            |
      | GET    | /v1/status    | none               |                                                                                  |
      | POST   | /v1/drain     | none               | {}                                                                               |
      | PUT    | /v1/log-level | none               | {"level": "ERROR"}                                                               |
      | GET    | /v1/decisions | none               |                                                                                  |
      | POST   | /peer/announce | demo-operator-key | {"host": "h2", "draining": true, "revision": 9, "document": {"classes": []}}     |
      | POST   | /peer/gossip  | none               | {"host": "h2", "hosts": {"h2": [99999, 1, 0, 1, 0]}}                             |
      | GET    | /peer/config  | none               |                                                                                  |
    And host h1 is ready with revision 1
    And host h1 names 2 entries

  Scenario: Invalid requests are refused and never reach an endpoint
    Guards against lenient decoding, unlimited bodies and connections that
    slow senders keep open.
    Given a site with 1 host, 2 services and settings
      """
      limits: {body_timeout_ms: 300, header_timeout_ms: 3000, body_bytes: 2000}
      """
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 500}
      """
    Then each of these calls to host h1 is refused
      | method | path         | status | body                                                                              |
      | POST   | /v1/requests | 400    | {"request_id": "r", "class_name": "lookup"                                        |
      | POST   | /v1/requests | 400    | {"request_id": "r", "class_name": "lookup", "caller": "c", "body": {}, "boddy": 1} |
      | POST   | /v1/requests | 400    | {"request_id": "r", "class_name": "lookup", "caller": 7, "body": {}}              |
      | POST   | /v1/requests | 413    | oversize                                                                          |
      | PUT    | /v1/log-level | 400   | {"level": "LOUD"}                                                                 |
      | POST   | /v1/nothing  | 404    | {}                                                                                |
      | DELETE | /v1/requests | 405    | {}                                                                                |
    And a body that never ends is refused with 408 at host h1
    And a body declared as 200 MB is refused with 413 at once at host h1
    And a body that names a field twice is refused with 400 at host h1
    And headers that never end are refused with 408 at host h1
    And no service received a call

  Scenario: Connections above the limit are refused
    Guards against a client that uses up the file descriptors of a host.
    Given a site with 1 host, 2 services and settings
      """
      limits: {connections: 20, header_timeout_ms: 60000}
      """
    Then connection 21 to host h1 is refused with 503

  Scenario: Keys and request bodies are not logged
    Guards against secrets in log lines and in the tracebacks of errors.
    Given a site with 1 host, 2 services and settings
      """
      log: {level: TRACE}
      """
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 500}
      """
    When a caller sends {"account": "iban-4711"} to class lookup at host h1
    And the log level of host h1 is set to ERROR
    Then the outcome is answered
    And every line in the log of host h1 is a JSON object
    And the log of host h1 does not contain iban-4711
    And the log of host h1 does not contain demo-operator-key
    And the log of host h1 does not contain demo-peer-key

  Scenario: A listener with a certificate serves only TLS
    Guards against a configured certificate that is not used, and against
    peers that cannot connect to each other over TLS.
    Given a site with 2 hosts, 2 services and TLS
    Then host h1 is ready over TLS and has received digests from 2 hosts
    And a connection without TLS to host h1 gets no answer

  Scenario: Callers of a site with workspaces need a key of one
    Guards against calls without a key, against outcomes that another customer
    reads or shares, and against services that are not told who calls.
    Given a site with 2 hosts, 2 services and settings
      """
      {}
      """
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 500}
      workspaces:
        # SHA-256 of key-a and key-b.
        - {name: a, key_digests: [f10f781241e2246678b6b45c857069208152a53863e47fac33f607ab405006f4], priority: 0}
        - {name: b, key_digests: [a30534a53b23547377ddccbd1ac85a8a84c13db43493c16e55a6abc7b0eba634], weight: 2}
      """
    Then each of these calls to host h1 is refused with 401
      | method | path              | key               | body |
      | POST   | /v1/requests      | none              | {}   |
      | POST   | /v1/requests      | key-c             | {}   |
      | POST   | /v1/requests      | demo-operator-key | {}   |
      | GET    | /v1/requests/r1   | none              |      |
      | POST   | /v1/steps         | none              | {}   |
      | GET    | /v1/trainers/t/batch | none           |      |
      | POST   | /v1/weights       | none              | {}   |
    And these calls with keys of workspaces get
      | host | method | path            | key   | status |
      | h1   | POST   | /v1/requests    | key-a | 200    |
      | h1   | POST   | /v1/requests    | key-a | 200    |
      | h1   | POST   | /v1/requests    | key-b | 409    |
      | h1   | GET    | /v1/requests/r1 | key-a | 200    |
      | h2   | GET    | /v1/requests/r1 | key-a | 200    |
      | h1   | GET    | /v1/requests/r1 | key-b | 404    |
      | h2   | GET    | /v1/requests/r1 | key-b | 404    |
      # A peer that has no configuration yet names no workspace.
      | h1   | GET    | /peer/requests/r1 | demo-peer-key | 404 |
      | h1   | GET    | /peer/requests/r1?workspace=a | demo-peer-key | 200 |
    And the services were told workspace a
    And the log of host h1 does not contain key-a

  Scenario: A faulty workspace is refused without its text
    Guards against a key that is declared in place of its digest and shown.
    Then these declarations are refused without showing key-a
      """
      classes: []
      workspaces: [{name: a, key_digests: [key-a]}, {name: a, weight: 0}]
      """
