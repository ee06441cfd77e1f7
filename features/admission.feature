Feature: Admission uses the service time of each class
  Guards against the refusal of short interactive work because long batch
  work in the same pool raises the mean service time.

  Scenario: Short interactive work is admitted beside long batch work
    Given a pool whose batch work takes 2 s and whose interactive work takes 0.05 s
    When interactive work with a deadline of 2 s is offered
    Then it is admitted

  Scenario: Interactive work that cannot finish in time is refused
    Given a pool whose batch work takes 2 s and whose interactive work takes 1.5 s
    When interactive work with a deadline of 2 s is offered
    Then it is refused
