Feature: A failure on behalf of one request or peer ends no process

  Guards against an exception in a background task that ends its process, and
  with it all requests of the host.

  # Guards against ending an attempt whose time is over in the same turn of the
  # event loop: entry hosts ended by themselves while agents were away.
  Scenario: A silent server is noticed at the moment at which its attempt times out
    Given a server that never answers, beside an agent that has fallen silent
    When an idempotent request times out as its server is found to be silent
    Then the search for silent servers goes on
    And the request has got one answer

  Scenario: Each background task of an entry host goes on after a failure
    When the clock fails once in each background task of an entry host
    Then each task has failed once and runs again

  Scenario: Each background task of an agent goes on after a failure
    When the clock fails once in each background task of an agent
    Then each task has failed once and runs again

  # Guards against a task that fails at once each time and is restarted without
  # a pause.
  Scenario: A task that fails again and again does not keep the process busy
    When a task fails each time for 60 s
    Then it was started at most 50 times
    And each failure is counted and logged
