Feature: What others write wrongly harms nothing else
  Property tests of every decoder of the platform's adapter; Hypothesis runs
  without a random seed.

  Scenario: Any bytes as the entry of an endpoint
    Guards against a row of another writer that ends a watch or hides others.
    Given rows of endpoints with any content beside a good one
    Then the good endpoint is known and no row raised an error

  Scenario: Any bytes as the operator's rows
    Guards against a row that ends the watch of the desired state.
    Given operator rows with any content beside a good desired state
    Then the good desired state is in force and no row raised an error

  Scenario: Any bytes as a submission
    Guards against a submission that ends in an error of the daemon.
    Given submissions with any content
    Then each is a job or is refused with a reason

  Scenario: Any bytes as the settings
    Guards against a daemon that starts with settings it cannot read.
    Given settings files with any content
    Then each is read or refused with a reason

  Scenario: Any answer of the store
    Guards against a watch that ends at an answer that is not the store's.
    Given answers of the store with any content
    Then each is a page or an error of the store

  Scenario: Any bytes as a stream of events
    Guards against a text that has an event missing, twice or cut.
    Given streams of events cut and changed anywhere
    Then every text is a beginning of the whole text
