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
