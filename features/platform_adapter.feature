Feature: The adapter reads what model servers really send
  The client of the engines against the stand-in of a model server.

  Scenario: The rest of a text that is whole
    Guards against an item that fails at each engine for ever because an
    earlier owner had kept all of its events.
    Given a model server on a loopback address
    When the rest of a text after its last event is asked for
    Then it ends at once without an event

  Scenario: A text from its first event to its end
    Guards against events without the version that made them.
    Given a model server on a loopback address
    When a text is asked for
    Then every event has its number and version 1

  Scenario: A server that has another name now
    Guards against a request that runs at a server that took over an address.
    Given a model server on a loopback address
    When a text is asked of a server that is gone
    Then it certainly did not run
