Feature: Workspaces share the endpoints of the own interface
  Daemons of `anvilcove serve` without a network, in virtual time. Guards
  against a workspace whose flood delays or displaces the calls of others. Class
  declarations without workspaces, where the order is by arrival, run the same
  loads.

  Scenario: One workspace floods a pool
    Guards against calls of others that wait behind the flood or are refused for
    it, against idle endpoints, against retries that return together, and
    against metrics with a series for each of thousands of workspaces.
    When workspace f floods the own interface with 5 times its room
    Then of the calls of s1, at least 0.97 are answered, without workspaces at most 0.6
    And of the calls of s2, at least 0.97 are answered, without workspaces at most 0.6
    And the endpoints are used by at least 0.95
    And refused callers are told different times to come back
    And the metrics of the own interface name 100 workspaces

  Scenario: Workspaces arrive after one has filled the queue
    Guards against callers that wait until their deadline for a refusal that is
    certain, against refusals of the workspaces that came later, and against
    operators that don't see whose calls wait.
    Then as others arrive, what no longer fits is refused at once, of f only

  Scenario: Many workspaces fill a queue whose calls may wait for minutes
    Guards against memory that grows with the number of workspaces, since each
    may have a queue of its own waiting and no deadline ends it soon. Also
    guards against a waiting sample, which is not refused, that protects calls.
    Then no more calls wait than a pool may queue, as many of each workspace

  Scenario: Calls that wait follow weights and priorities
    Guards against shares by the number of workspaces, against an order that the
    queue keeps from before a change, and against starved priorities.
    Then waiting calls follow the weights, and only where there are workspaces
    And waiting calls of a higher priority go first, lower ones are not starved

  Scenario: Declared weights are as unequal as floats allow
    Guards against sums of weights that are infinite and shares of 0, by which the
    daemon would divide.
    Then weights of 1e308 and 1e-300 end no call with an exception

  Scenario: Samples of steps follow the shares
    Guards against a trainer whose step delays that of another workspace, and
    against shares by the number of samples.
    Then samples of steps follow the shares of tokens between workspaces

  Scenario: Several workspaces wait below a flood of a higher priority
    Guards against charges of lower priorities that the flood makes void, so that
    the order of the steps alone decides and one of the workspaces starves.
    Then workspaces of a lower priority share what a flood leaves
