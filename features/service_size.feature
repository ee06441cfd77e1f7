Feature: The size of a service follows its jobs
  Calls the policies directly, without a network. A model of engines with 8
  slots in three data centres runs steps that are due in 7.5 s. Each load runs
  with the policies `fixed`, `utilization` and `demand`.

  Scenario Outline: <load>
    Guards against steps that are late for lack of engines, against engines
    that nobody needs, and against sizes that go up and down.
    When the jobs of "<load>" run with each size policy
    Then with `demand` at most <late> steps are late
    And no policy has fewer late steps
    And `demand` costs at most <cost> times as much as `<other>`
    And at least 20 s pass between an increase and a decrease
    And only reclaimed engines cut items

    Examples:
      | load                                 | late | cost | other       |
      | a trainer starts, doubles, stops     | 0    | 0.95 | utilization |
      | four trainers in phase               | 0    | 0.7  | utilization |
      | four trainers out of phase           | 0    | 0.6  | utilization |
      | a wave of 11 s                       | 0    | 0.7  | utilization |
      | a fifth of the engines slow          | 0    | 0.8  | utilization |
      | a group is reclaimed at a step's end | 0    | 1.6  | fixed       |
      | the interface is away for 10 s       | 0    | 0.7  | utilization |
      | a third of the capacity              | 0    | 0.7  | fixed       |

  Scenario Outline: A flood that cannot be served orders nothing: <load>
    Guards against engines for work that is late with any number of them, also
    if nothing was known of the work when it arrived.
    When the jobs of "<load>" run with each size policy
    Then `demand` orders nothing

    Examples:
      | load               |
      | a flood            |
      | a flood at the start |

  Scenario: A data centre without engines is left out for 10 s
    Guards against repeated orders where none are available, and against a
    data centre that is never asked again.
    When the jobs of "no engines in one data centre" run with each size policy
    Then refusals of `demand` in a data centre are at least 10 s apart
    And with `demand` at most 0 steps are late

  Scenario: Lost engines are ordered again at once and after the boot time
    Guards against a service that stays too small when an order is lost.
    When the jobs of "engines crash and an order is lost" run with each size policy
    Then `demand` repeats the order at once and after 6 to 8 s

  Scenario Outline: The cheapest mix survives the largest reclaimable group
    Guards against a mix that is too small when a data centre's reclaimable
    engines go, and against reserved engines where others are cheaper.
    Given data centres with prices <prices>, reclaimable ones at <fraction>
    When 12 engines are needed with at most <maximum> in a data centre
    Then the mix has <reserved> reserved and <reclaimable> reclaimable engines
    And 12 engines remain when the largest group goes

    Examples:
      | prices  | fraction | maximum | reserved | reclaimable |
      | 1,1,1   | 0.3      | 20      | 0        | 18          |
      | 1       | 0.3      | 40      | 12       | 0           |
      | 1,1,1   | 1.0      | 20      | 12       | 0           |
      | 1,5,5   | 0.9      | 20      | 12       | 0           |
      | 1,1,1   | 0.3      | 5       | 6        | 9           |

  Scenario Outline: Invalid scaling changes nothing that it does not name
    Guards against sizes that follow from a typing error of the operator.
    When the desired state has the scaling <scaling>
    Then the bounds are <bounds>

    Examples:
      | scaling                                                         | bounds            |
      | {"min": 1, "max": 9, "boot-s": 3, "zone-prices": {"a": 2}}      | 1 9 3 2.0 2.0     |
      | {"min": 5, "max": 2}                                            | none              |
      | {"min": 1, "max": "9"}                                          | none              |
      | [1, 2]                                                          | none              |
      | {"max": 9, "boot-s": 0, "preemptible-price": 0.3}               | 0 9 0 1.0 0.3     |
      | {"max": 9, "boot-s": 7200, "preemptible-price": 0}              | 0 9 3600 1.0 1.0  |
      | {"max": 9, "boot-s": "x", "zone-prices": {"a": -1, "b": 0}}     | 0 9 4 1.0 1.0     |
      | {"max": 9, "zone-prices": {"b": 3}, "preemptible-price": -0.5}  | 0 9 4 3.0 3.0     |

  Scenario Outline: The row of an endpoint tells whether it may be reclaimed
    Guards against rows that are skipped for a field that is not understood.
    When an endpoint's row has the fields <fields>
    Then it is listed as <listed>

    Examples:
      | fields                                                       | listed            |
      | {}                                                           | False False None  |
      | {"preemptible": true}                                        | True False None   |
      | {"preemptible": "yes", "leaves_ms": "soon"}                  | False False None  |
      | {"preemptible": true, "state": "draining", "leaves_ms": 2500} | True True 2.5     |
      | {"preemptible": true, "draining": true, "leaves_ms": -1}     | True True None    |
