Feature: Decisions with a clock that is passed in

  Scenario: A holder stops before anyone may follow, whatever the drift
    Then for clock rates within the bound no two hosts act on one lease

  Scenario: The table is down for ten minutes while operators publish
    Given three configuration stores on one table and a fake clock
    When the table is down for 600 seconds and an operator tries each 10 seconds
    Then no publication was accepted meanwhile
    And each store went on unproved and none went back
    When the table is up again
    Then the next publication is in force at each store

  Scenario: An agent that forgets settled orders never begins one again
    Then a late copy of a settled order is refused

  Scenario: An operator sees what the other one changed
    Then the difference of two documents names the changed keys only
