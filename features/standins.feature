Feature: Fault switches of the stand-ins
  Guards against a stand-in that does not inject the fault on which a check of
  a guarantee relies: the check would then pass without having checked it.

  Scenario Outline: Whether a write takes effect depends on the store fault
    Given a stand-in platform with faults <faults>
    When row "a" is written to the stand-in
    Then the stand-in call ends with <result> and the row is <row>

    Examples:
      | faults                                          | result           | row     |
      | {}                                              | success          | present |
      | {"store_down": true}                            | StoreUnavailable | absent  |
      | {"lose_answers": 1}                             | StoreAnswerLost  | present |
      | {"lose_answers": 1, "lose_answers_prefix": "a"} | StoreAnswerLost  | present |
      | {"lose_answers": 1, "lose_answers_prefix": "b"} | success          | present |
      | {"down_for": ["127.0"]}                         | StoreAnswerLost  | absent  |
      | {"down_for": ["127.00", "127.1"]}               | success          | present |

  Scenario: A delayed write takes effect after the client has timed out
    Given a stand-in platform with faults {"store_delay_s": 9}
    When row "a" is written to the stand-in
    Then the stand-in call ends with StoreAnswerLost and the row is absent
    And the row appears when the delay ends

  Scenario: Calls above the store's rate limit are refused
    Given a stand-in platform with faults {}
    Then the stand-in accepts 100 of 110 writes and 500 of 510 reads
    When the stand-in clock advances by 1 s
    Then the stand-in accepts 100 of 110 writes and 500 of 510 reads

  Scenario: Clients at some addresses get an outdated membership list
    Given a stand-in platform with faults {"members_lag_s": {"127.2.0.": 3}}
    When the membership list of the stand-in is set to host old
    And the stand-in clock advances by 5 s
    And the membership list of the stand-in is set to host new
    Then the stand-in lists old to 127.2.0.1 and new to 127.3.0.1
    When the stand-in clock advances by 4 s
    Then the stand-in lists new to 127.2.0.1 and new to 127.3.0.1
    When the stand-in faults become {"members_down": true}
    Then the membership list of the stand-in is unavailable

  Scenario: Concurrent transfers of weights share one rate limit
    Given a stand-in platform with faults {}
    Then two transfers of 1 MiB at 10 MiB/s take at least 0.19 s

  Scenario Outline: The outcome of a service call is classified
    Given a stand-in service with faults <faults>
    When the stand-in runs "some poison"
    Then the stand-in call ends with <result> after <runs> runs

    Examples:
      | faults                 | result         | runs |
      | {}                     | success        | 1    |
      | {"late_s": 9}          | EndpointFailed | 1    |
      | {"cross_answers": 1}   | AnswerMismatch | 1    |
      | {"truncate": 1}        | AnswerMismatch | 1    |
      | {"crash_on": "poison"} | crash          | 1    |
      | {"crash_on": "other"}  | success        | 1    |
      | {"full": true}         | EndpointNotRun | 0    |

  Scenario Outline: The outcome of a generation is classified
    Given a stand-in engine with faults <faults>
    When the stand-in runs "some poison"
    Then the stand-in call ends with <result> after <runs> runs

    Examples:
      | faults                  | result          | runs |
      | {}                      | success         | 1    |
      | {"cross_answers": 1}    | AnswerMismatch  | 1    |
      | {"truncate": 1}         | EndpointCrashed | 1    |
      | {"late_s": 9}           | success         | 1    |
      | {"crash_on": "poison"}  | crash           | 1    |
      | {"crash_on": "other"}   | success         | 1    |
      | {"die_after_tokens": 2} | crash           | 1    |
      | {"full": true}          | EndpointNotRun  | 0    |

  Scenario Outline: A call is reported as not run only if that is certain
    When a raw endpoint <behaviour>
    Then a service call and a generation end with <result>
    And the endpoint received each at most once

    Examples:
      | behaviour                     | result          |
      | does not listen               | EndpointNotRun  |
      | answers 429 with run false    | EndpointNotRun  |
      | answers 503 with run false    | EndpointNotRun  |
      | answers 429 with run true     | EndpointFailed  |
      | answers 429 with no reason    | EndpointFailed  |
      | answers 500 with run false    | EndpointFailed  |
      | redirects to itself           | EndpointFailed  |
      | resets before the answer      | EndpointCrashed |
      | closes before the answer      | EndpointCrashed |
      | resets within the answer      | EndpointCrashed |
      | closes within the answer      | EndpointCrashed |
      | answers with half a message   | EndpointFailed  |

  Scenario: A stale pooled connection cannot make an outcome unknown
    Given a stand-in service with faults {}
    Then a call that must not be repeated opens a connection of its own

  Scenario: Load reports describe the load of 3 s ago
    Given a stand-in service with faults {"late_s": 9, "report_lag_s": 3}
    When the stand-in runs "x" until it has started
    Then the stand-in reports 0 running as of 3 s ago
    When the stand-in clock advances by 4 s
    Then the stand-in reports 1 running as of 3 s ago

  Scenario: A scoring service gives the same sample the same score
    Given a stand-in scoring with faults {}
    Then it scores "a b" the same twice and "a c" differently

  Scenario: The engine runs the highest priority first and obeys a cancellation
    Given a stand-in engine with faults {}
    When generations first at 0, low at 0 and high at 5 compete for 1 slot
    And generation first is cancelled
    Then the stand-in journal has request_id "first high low"
    And a generation that resumes 2 of 4 tokens yields tokens 2 and 3

  Scenario: Prompt prefixes are cached up to a limit and reported with a lag
    Given a stand-in engine with faults {}
    When prompts "a|1 a|2 b|1 a|3" are generated with room for 1 prefix
    Then the stand-in journal has cached "False True False False"
    And the cache events are "+a -a +b -b +a"
    When the stand-in faults become {"cache_lag_s": 5}
    Then the cache events are ""
    When the stand-in clock advances by 6 s
    Then the cache events are "+a -a +b -b +a"
    When the stand-in faults become {"cache_gaps": 1.0, "cache_lag_s": null}
    And prompts "c|1" are generated with room for 1 prefix
    Then the cache events are "+a -a +b -b +a"

  Scenario: An imported KV cache makes prefill unnecessary
    Given a stand-in engine with faults {}
    When a generation is resumed without and with its KV cache
    Then the stand-in journal has prefill_s "0.0 0.002 0.0"

  Scenario: A generation during a switch of weights has tokens of both versions
    Given a stand-in engine with faults {}
    Then a generation during order 2 has versions 0 and 2

  Scenario: Weight switches fail partway and old fencing tokens are refused
    Given a stand-in engine with faults {"fail_swaps": 1, "drop_versions": 2}
    Then order 3 of fence 5 leaves version 0 after 1 failed swap
    And order 3 of fence 5 leaves version 3 after 1 failed swap
    And order 4 of fence 4 is refused
    And 2 of 4 tokens do not name their version
    When the stand-in faults become {"ignore_fence": true}
    Then order 4 of fence 4 leaves version 4 after 1 failed swap

  Scenario: Orders change the model, adapters and role of an engine
    Given a stand-in engine with faults {}
    Then order {"kind": "load_model", "model": "n"} leads to the state {"model": "n", "swapping": false}
    And order {"kind": "load_adapter", "adapter": "a"} leads to the state {"adapters": ["a"]}
    And order {"kind": "set_role", "role": "decode"} leads to the state {"role": "decode"}
    And a generation with model n ends with success
    And a generation with model m ends with EndpointNotRun

  Scenario: The relay delays and cuts connections
    Given a relay between casa-ain and casa-sidi
    Then a relayed call from 127.0.0.1 takes at least 0.02 s
    When casa-ain is cut off during a call from 127.2.0.1, which breaks
    Then a relayed call from 127.1.0.1 ends with success
    And a relayed call from 127.2.0.1 ends with EndpointNotRun
    And a relayed call from 127.0.0.1 ends with EndpointNotRun
    When the relay connects all data centres again
    Then a relayed call from 127.2.0.1 ends with success
    When the relayed server stops
    Then a relayed call from 127.2.0.1 ends with EndpointNotRun

  Scenario: A site behind a relay keeps the journals of stand-ins that crash
    Given a site behind a relay
    And the class declarations
      """
      classes:
        - {kind: interactive, name: lookup, pool: account-app, deadline_ms: 5000}
      """
    When a caller sends {"account": 7} to class lookup at host h1
    Then the outcome is answered
    And endpoint account-app-1 was called from the address of host h1
    When endpoint account-app-1 crashes on the call {"account": "poison"} at host h1
    Then its journal file records the crash and it serves after a restart
    And cutting casa-ain off makes its host unreachable until it is reconnected

  Scenario: The relay listens once its port is free again
    Guards against a listener that stays closed forever because an outgoing
    connection used its port when the relay first tried to open it.
    Given a relayed server whose advertised port is taken
    When the port becomes free
    Then the relay accepts connections at the advertised port
