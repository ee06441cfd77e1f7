Feature: Endpoints that name a limit get no more than that from all daemons
  An endpoint in need names in its answers how many requests a second it takes
  from all hosts together. Daemons on virtual time, with services in memory.
  From 3 s after the first naming at most one and a half times the limit and 5
  requests may arrive in any 4 s.

  Scenario: Services with a limit get what they take, others the rest
    Guards against daemons that send to an endpoint with a limit as to any
    other, or of which each sends as much as the limit allows all together.
    Given a platform with 4 services and 11 daemons
    And services 0, 1 and 2 take 1.3 requests a second
    When 30 requests a second arrive at all daemons for 20 s
    Then no service got more requests than its limit allows
    And all of the requests were answered

  Scenario: Services that all have a limit are used as far as it allows
    Guards against a limit that leaves an endpoint without work, and against
    requests that are held although no endpoint can take them.
    Given a platform with 4 services and 11 daemons
    And services 0, 1, 2 and 3 take 2 requests a second
    When 30 requests a second arrive at all daemons for 20 s
    Then no service got more requests than its limit allows
    And the services got at least 0.7 of what they take
    And each refused request was refused within 0.05 s, with a Retry-After time

  Scenario: A limit that has ended is no longer kept
    Guards against an endpoint that keeps its limit for ever because nothing is
    sent to it any more.
    Given a platform with 4 services and 3 daemons
    And services 0, 1 and 2 take 2 requests a second
    When 30 requests a second arrive at all daemons for 10 s
    And no service names a limit any more
    And 30 requests a second arrive at all daemons for 10 s
    Then no daemon knows a limit

  Scenario: The limit is kept while daemons that keep the permits are killed
    Guards against a limit of which each daemon takes the whole when the one
    that shares it out is gone.
    Given a platform with 2 services and 6 daemons
    And services 0 and 1 take 3 requests a second
    When 20 requests a second arrive at all daemons for 6 s
    And a daemon is killed and 20 requests a second arrive for 6 s, 4 times
    Then no service got more requests than its limit allows
    And the services got at least 0.4 of what they take

  Scenario: A daemon that reaches no other one takes a share only
    Guards against daemons of which each grants itself the whole limit.
    Given a platform with 2 services and 6 daemons
    And services 0 and 1 take 3 requests a second
    And the daemons cannot reach each other for permits
    When 20 requests a second arrive at all daemons for 12 s
    Then no service got more requests than its limit allows

  Scenario: Items keep to the limits of engines
    Guards against a step whose items all start at once at an engine in need.
    Given a platform with 3 engines and daemons a, b and c
    And engines 0 and 1 take 2 requests a second
    When daemon a accepts job j1 with 48 items
    And 5 s go by
    And daemon b accepts job j2 with 48 items
    And 30 s go by
    Then no engine got more requests than its limit allows
    And every daemon lists 48 completed results of job j1 in the same order
    And every daemon lists 48 completed results of job j2 in the same order

  Scenario: Items complete at engines that all have a limit
    Guards against items that are never placed since no engine is without one.
    Given a platform with 3 engines and daemons a, b and c
    And engines 0, 1 and 2 take 4 requests a second
    When daemon a accepts job j1 with 48 items
    And 25 s go by
    Then no engine got more requests than its limit allows
    And every daemon lists 48 completed results of job j1 in the same order
