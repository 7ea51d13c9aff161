Feature: Decisions of the policy

  Scenario: Turns go by importance, then by equal shares
    Given a queue with 6 tickets of "large", then 2 of "small", then 1 important of "large"
    Then the turns go to "large small large small large large large large large"
    And the first turn goes to the important ticket

  Scenario: What cannot begin in time is refused at once
    Given slots whose 8 turns are taken for 4 s each
    When an attempt with a target of 100 ms comes
    Then it is refused with "deadline_too_short"
    When an attempt with a target of 60000 ms comes
    Then it waits

  Scenario: A stalled upstream refuses, and is tried again with one attempt
    Given slots whose 8 turns are taken for 4 s each
    When no part comes for 10 s
    Then an attempt is refused with "overloaded"
    When all 8 attempts are given up
    Then of 3 attempts 1 begins

  Scenario: A lost report is believed less and less
    Given a report of 40 attempts of others against a mean of 10
    Then after 0 s the expected load is about 40
    And after 60 s the expected load is about 10

  Scenario: A refusal is news of the load
    Given a report of 0 attempts of others against a mean of 10
    When the upstream refuses an attempt
    Then it is expected to be full

  Scenario: At most a third of the upstreams is ejected
    Given a health book of 9 hosts with answers of all of them
    When 5 of them fail 20 times each
    Then 3 of them are ejected
    When an ejected one answers a probe well
    Then 2 of them are ejected

  Scenario: The retry budget is a share of the successes
    Given a retry budget without savings
    When 100 requests succeed
    Then 5 retries of high importance are allowed
    When 10 requests succeed
    Then 0 retries of low importance are allowed

  Scenario: A decision draws as often among 1300 upstreams as among 16
    Then a choice looks at as many of 1300 upstreams as of 16

  Scenario: The near data centre comes first and spills when it is full
    Given 4 near upstreams with load 2 of 10 and 4 far ones with load 0 of 10
    Then all of 50 choices are near
    Given 4 near upstreams with load 15 of 10 and 4 far ones with load 2 of 10
    Then all of 50 choices are far

  Scenario: The only usable upstream is found whatever is drawn first
    Given 2 upstreams of which only the last is usable
    Then each of 1000 choices finds it
    Given 1300 upstreams of which only the last is usable
    Then each of 20 choices finds it
