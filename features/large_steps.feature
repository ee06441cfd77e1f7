Feature: Large steps leave a daemon within the memory of its host
  The limit of a submission is `max-body-bytes`, 33,554,432 in the users'
  pages. The smallest host that a page names has 160 MB. Real processes on
  loopback addresses.

  Scenario Outline: One step of <shape> is <answers>
    Guards against a daemon that is ended for its memory by one submission,
    as what was made of its body was on no account.
    Given a daemon with 160 MiB, 1638 descriptors and bodies of up to 32 MiB
    When a step of 33000000 bytes with <shape> is submitted
    Then the step is answered <answers>
    And the daemon lives and stayed within its limits
    And an ordinary request is answered

    Examples: Steps that are sound
      | shape                          | answers    |
      | small items                    | 202 or 503 |
      | one item                       | 202 or 503 |
      | the shortest items             | 202 or 503 |
      | items with many headers        | 202 or 503 |
      | a reward call with a long body | 202 or 503 |

    Examples: Steps that can never be served
      | shape                          | answers    |
      | one item with many headers     | 400        |
      | an object of empty fields      | 202        |
      | numbers in place of items      | 400        |
      | nested arrays                  | 400        |
      | a long path                    | 400        |

  Scenario: One step of items with prompts is accepted
    Guards against a step inside the limits that no host ever accepts.
    Given a daemon with 160 MiB, 1638 descriptors and bodies of up to 32 MiB
    When a step of 33000000 bytes with items with prompts is submitted until it is accepted
    Then the step is answered 202
    And the daemon lives and stayed within its limits
    And an ordinary request is answered

  Scenario: Several large steps at once
    Guards against steps that each fit alone and were all accepted.
    Given a daemon with 160 MiB, 1638 descriptors and bodies of up to 32 MiB
    When 3 steps of 10000000 bytes with items with prompts come at once
    Then each step is answered 202 or 503
    And the daemon lives and stayed within its limits
    And an ordinary request is answered

  Scenario: Many steps of small items
    Guards against jobs whose memory was on no account once accepted.
    Given a daemon with 160 MiB, 1638 descriptors and bodies of up to 32 MiB
    When 100 steps of 200000 bytes with small items come at once
    Then each step is answered 202 or 503
    And the daemon lives and stayed within its limits
    And an ordinary request is answered
