Feature: The logs show where the time of a step went
  Calls the report directly on log lines of several hosts.

  Scenario: A step is divided into waiting, generation, reading and training
    Guards against a report that blames the wrong item or engine.
    Given the logs of a step that was asked at 10 s with 2 groups
    And an item of 100 events that ran from 10.1 to 14.1 s and was committed at 14.2 s
    And an item of 100 events that waited 0.5 s and ran until 16.6 s on 2 engines
    And the step was ended at 16.9 s and the next version named at 17.9 s
    When the steps are reported
    Then the last item had 2 runs and waited 0.5 s
    And the step took 6.6 s to generate, 0.3 s to read and 1.0 s to train
    And its lower bound is 4.1 s

  Scenario: Lines of other programs are skipped
    Guards against a report that fails on a cut or foreign line.
    Given the logs of a step that was asked at 10 s with 2 groups
    And lines that are cut off or no records
    When the steps are reported
    Then the report has 1 step

  Scenario: Logs without a step are reported as such
    Guards against an empty report that looks like a calm day.
    Given lines that are cut off or no records
    When anvilcove report steps reads them
    Then it exits with 1
