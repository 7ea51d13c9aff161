Feature: Lease, configuration and order decisions under a controlled clock

  Clock drift, a long outage of the table and late copies of an order are
  reproduced exactly: the decisions run without processes and take the time
  from the test.

  Scenario: A lease holder stops before another host may acquire the lease
    Then no two hosts hold one lease at any clock drift within the bound

  Scenario: Operators publish while the table is unavailable for ten minutes
    Given three configuration stores that share a table and a fake clock
    When the table is unavailable for 600 seconds and an operator publishes every 10 seconds
    Then no publication was accepted during the outage
    And each store permitted unproved serving and kept its version
    When the table recovers
    Then each store applies the next publication

  Scenario: An agent rejects a settled order whose result it has discarded
    Then a late copy of a settled order is rejected

  Scenario: A document difference lists what another operator changed
    Then the difference of two documents lists only the changed keys
