Feature: Decision policies compared with their naive variants
  Each scenario runs policies on generated sequences of events. Rules that
  both the default variant ('real') and the naive one must follow are checked
  for both; the measure that a policy is meant to improve is compared.

  # Guards against a request at an endpoint that must not receive any, such
  # as a leaving or a full one.
  Scenario: Routing chooses only usable endpoints and finds a free slot
    Then routing never chooses a forbidden endpoint

  # Guards against hosts that all choose the same server because their load
  # reports are late.
  Scenario: Twelve hosts with load reports 2 s late balance the servers
    Then the busiest server has at most 1.15 times the mean load

  # Guards against a slow server that delays requests which the rest of its
  # pool could serve in time.
  Scenario: A server at a third of the speed makes few requests late
    Then answers on time with a slow server are at least as many as with naive

  # Guards against batch work that takes the capacity that interactive
  # requests need.
  Scenario: Interactive requests are on time beside batch at 10 times capacity
    Then interactive requests are on time beside batch work

  # Guards against a queue in which every request waits past its deadline.
  Scenario: Goodput stays near capacity at 3 times overload
    Then goodput at 3 times overload is at least 95% of capacity

  # Guards against accepting a request that can no longer finish in time.
  Scenario: Admission refuses requests that cannot meet their deadline
    Then admission refuses late requests and admits interactive ones when idle

  # Guards against a concurrency limit that starves an endpoint or grows
  # without bound.
  Scenario: Concurrency limits stay in their bounds, fall to 1 and recover
    Then limits stay in their bounds and recover

  # Guards against ejections that leave a pool without endpoints.
  Scenario: Ejection leaves at least half of a pool in use
    Then ejection keeps its floor and saves attempts

  # Guards against retries that multiply the load during an overload.
  Scenario: Retries stay within the budget and the deadline
    Then retries stay within their budget and deadline

  # Guards against hedged requests that double the load when every endpoint
  # is slow.
  Scenario: Hedges stay a bounded share of the requests
    Then hedges are at most 5% of the finished requests

  # Guards against a request that crashes every endpoint of a pool, and
  # against refusing requests that merely ran at the same time.
  Scenario: A poison request crashes at most two endpoints and others run
    Then poison costs at most two endpoints and innocents always run

  # Guards against crash counts that depend on the order of gossip messages.
  Scenario: Merged crash counts do not depend on the order
    Then merged counts are the same in every order

  # Guards against callers that all choose the same host.
  Scenario: Entry lists spread the callers over hosts and move few of them
    Then entries are level and stable

  # Guards against servers that are moved back and forth.
  Scenario: Placement makes few moves and converges
    Then placement meets the demand and settles
