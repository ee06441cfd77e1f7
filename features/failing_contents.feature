Feature: Contents that fail everywhere, and endpoints that fail most runs
  A run that fails at one endpoint alone is charged to it. What fails at
  several endpoints is the fault of its content. Each scenario runs the
  daemons of the platform's interface on virtual time, without a network.

  # Guards against sound engines that are ejected because items fail at each
  # run: the rest of the step, and other jobs, then waited without an engine.
  Scenario Outline: Items that fail at each run leave the engines to the others
    Given a platform with 3 engines and daemons a, b and c
    And the first 16 items of job j1 each <kind> at each run
    When daemon a accepts the steps j1 and j2 of 104 items each
    And 7.5 s go by
    Then all items of the steps j1 and j2 but those 16 are completed
    And none of those 16 ran again before each other item of its step ran

    Examples:
      | kind         |
      | fails        |
      | aborts       |
      | aborts late  |
      | is malformed |
      | is refused   |
      | stalls       |
      | stalls late  |

  # Guards against servers that are taken from reward calls and callers
  # because some reward calls always fail.
  Scenario Outline: Reward calls that always fail hold up neither others nor callers
    Given a platform with 3 engines and daemons a, b and c
    And the reward calls of the first 16 items of job j1 each <kind> each time
    When daemon a accepts the steps j1 and j2 of 104 items each
    And sound requests are sent to each daemon for 7.5 s
    Then all items of the steps j1 and j2 but those 16 are completed
    And every sound request was answered at its first attempt

    Examples:
      | kind         |
      | fails        |
      | aborts       |
      | is malformed |
      | is refused   |
      | stalls       |

  # Guards against sound services that are ejected, or whose limits fall,
  # because some requests always fail: others were refused.
  Scenario Outline: <calls> that always fail take no room from others
    Given a platform with 3 engines and daemons a, b and c
    And callers send <calls>
    When requests that each <kind> are sent beside sound ones for 10 s
    Then every sound request was answered at its first attempt

    Examples:
      | calls                 | kind         |
      | plain requests        | fails        |
      | plain requests        | aborts       |
      | plain requests        | is malformed |
      | plain requests        | is refused   |
      | plain requests        | stalls       |
      | requests not repeated | fails        |
      | requests not repeated | aborts       |
      | requests not repeated | is malformed |
      | requests not repeated | is refused   |
      | streams               | fails        |
      | streams               | aborts       |
      | streams               | aborts late  |
      | streams               | is malformed |
      | streams               | is refused   |
      | resumable streams     | fails        |
      | resumable streams     | aborts       |
      | resumable streams     | aborts late  |
      | resumable streams     | is malformed |
      | resumable streams     | is refused   |

  # Guards against an engine that stays in use although it fails, draws items
  # as its slots are soon free, and gets items given up.
  Scenario Outline: Engines that fail most runs are left out and cost no item
    Given a platform with <count> engines and daemons a, b and c
    And <faulty> of them each <kind> in <share> of the runs
    When daemon a accepts the steps j1 and j2 of 104 items each
    And 7.5 s go by
    And daemon a accepts the steps j3 and j4 of 104 items each
    And 7.5 s go by
    Then all items of the steps j1 to j4 are completed
    And at most a tenth of the items of the steps j3 and j4 failed

    Examples:
      | count | faulty | kind         | share |
      | 4     | 1      | fails        | 1.0   |
      | 4     | 1      | fails        | 0.7   |
      | 4     | 1      | aborts       | 1.0   |
      | 4     | 1      | aborts       | 0.7   |
      | 4     | 1      | aborts late  | 1.0   |
      | 4     | 1      | is malformed | 1.0   |
      | 4     | 1      | stalls       | 1.0   |
      | 6     | 3      | fails        | 1.0   |
      | 6     | 3      | fails        | 0.7   |
      | 6     | 3      | aborts       | 1.0   |
      | 6     | 3      | is malformed | 1.0   |

  # Guards against servers that stay in use although they fail, and against
  # items that are given up because their reward calls met such servers.
  Scenario Outline: Services that fail most runs are left out and cost no item
    Given a platform with 3 engines, <count> services and daemons a, b and c
    And <faulty> of the services each <kind> in <share> of the runs
    When daemon a accepts the steps j1 and j2 of 104 items each
    And sound requests are sent to each daemon for 7.5 s
    Then all items of the steps j1 and j2 are completed
    And at most a fifth of the last requests reached a faulty service

    Examples:
      | count | faulty | kind         | share |
      | 4     | 1      | fails        | 1.0   |
      | 4     | 1      | fails        | 0.7   |
      | 4     | 1      | aborts       | 1.0   |
      | 4     | 1      | aborts       | 0.7   |
      | 4     | 1      | is malformed | 1.0   |
      | 4     | 1      | stalls       | 1.0   |
      | 6     | 3      | fails        | 1.0   |
      | 6     | 3      | aborts       | 1.0   |
      | 6     | 3      | is malformed | 1.0   |

  # Guards against calls of the own interface that are refused, since sound
  # services are ejected for contents that always fail.
  Scenario Outline: Calls of the own interface that always fail harm no others
    Given calls of the own interface of which some each <kind> at each run
    When calls are sent to the own interface for 10 s
    Then every sound call of the own interface was answered

    Examples:
      | kind         |
      | fails        |
      | aborts       |
      | is malformed |
      | is refused   |

  # Guards against failed samples that go first and take the engines from
  # samples of their own and of other steps.
  Scenario Outline: Samples of the own interface that always fail harm no others
    Given calls of the own interface of which some each <kind> at each run
    When two steps of 104 samples run at the own interface for 7.5 s
    Then every sound sample of the own interface has its tokens
    And no failing sample ran again before each other sample ran

    Examples:
      | kind         |
      | fails        |
      | aborts       |
      | is malformed |
      | stalls       |

  # Guards against endpoints that stay in use although they fail most runs.
  Scenario Outline: Endpoints of the own interface that fail most runs are left out
    Given <faulty> of 4 endpoints of the own interface each <kind> in <share> of the runs
    When <work>
    Then <outcome>
    And few of the last runs were at the faulty endpoints

    Examples:
      | faulty | kind         | share | work                                                      | outcome                                              |
      | 1      | fails        | 1.0   | calls are sent to the own interface for 10 s              | every sound call of the own interface was answered   |
      | 1      | aborts       | 0.7   | calls are sent to the own interface for 10 s              | every sound call of the own interface was answered   |
      | 1      | fails        | 1.0   | two steps of 104 samples run at the own interface for 10 s | every sound sample of the own interface has its tokens |
      | 2      | fails        | 0.7   | two steps of 104 samples run at the own interface for 10 s | every sound sample of the own interface has its tokens |
      | 2      | is malformed | 1.0   | two steps of 104 samples run at the own interface for 10 s | every sound sample of the own interface has its tokens |

  # Guards against records of failures and refusals, however they come, that
  # leave items without an engine.
  Scenario: Half of the engines of a service stay in use, whatever they fail
    Then at least half of the engines stay in use on any sequence of runs
