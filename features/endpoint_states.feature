Feature: The state of an endpoint as daemons see it
  Random sequences of rows, answers, restarts and requests, applied to the real
  registries, reports and permits of three daemons.

  Scenario: No sequence of events breaks the promises about endpoints
    Guards against a new request after this start has said that it leaves, a
    new start that is shut out because of an old one, and more requests than
    the limit that was named.
    Then 200 random sequences of events keep the promises
