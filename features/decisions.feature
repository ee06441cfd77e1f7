Feature: Decision policies, real against naive
  Each scenario generates sequences of events. Rules that both variants must
  keep are checked for both; the measure that a policy is for is compared.

  # Guards against work at an endpoint that must not receive any.
  Scenario: Routing keeps to usable endpoints and finds one that has room
    Then routing never chooses a forbidden endpoint

  # Guards against hosts that follow the same late reports to one server.
  Scenario: Twelve hosts with reports 2 s late keep the servers level
    Then the busiest server has at most 1.15 times the mean load

  # Guards against a slow server that holds up what its pool could serve.
  Scenario: A server at a third of the speed does not delay the rest
    Then answers on time with a slow server are at least those of naive

  # Guards against batch work that takes the room of interactive work.
  Scenario: Interactive work is on time with batch at 10 times capacity
    Then interactive work is on time beside batch work

  # Guards against a queue in which everything waits beyond its deadline.
  Scenario: Goodput stays near capacity at 3 times overload
    Then goodput at 3 times overload is at least 95% of capacity

  # Guards against an admission that accepts what can no longer finish.
  Scenario: Admission never accepts beyond the deadline
    Then admission keeps the deadline and refuses batch work first

  # Guards against a limit that starves a server or grows without bound.
  Scenario: Limits stay in their bounds, fall to 1 and grow fast
    Then limits stay in their bounds and recover

  # Guards against an ejection that empties the pool.
  Scenario: Ejection leaves at least half of a pool in
    Then ejection keeps its floor and saves attempts

  # Guards against retries that multiply the load of an overload.
  Scenario: Retries stay within the budget and the deadline
    Then retries stay within their budget and deadline

  # Guards against hedges that double the load when everything is slow.
  Scenario: Hedges stay a bounded share
    Then hedges are at most 5% of the finished requests

  # Guards against poison that takes the pool down, and against the refusal
  # of requests that were merely beside it.
  Scenario: Poison crashes at most two endpoints and innocents run
    Then poison costs at most two endpoints and innocents always run

  # Guards against counts that depend on the order in which gossip arrives.
  Scenario: Counts of crashes merge in any order
    Then merged counts are the same in every order

  # Guards against callers that all meet at the same host.
  Scenario: Entries spread callers and move few of them
    Then entries are level and stable

  # Guards against servers that move back and forth.
  Scenario: Placement makes few moves and settles
    Then placement meets the demand and settles
