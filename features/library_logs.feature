Feature: What libraries log is part of the log of a daemon
  Scenario: Messages of libraries and of the interpreter are lines of JSON
    Guards against plain text between the lines of the log, which a reader of
    the log can't parse.
    Given the log of a daemon
    When asyncio logs a warning, code warns and an error can't be raised
    Then the log has 3 more lines, each of them JSON with the name of its host
