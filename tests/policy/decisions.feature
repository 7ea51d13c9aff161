Feature: Pure decisions of the request policy

  Admission, load estimates, outlier detection, retries and upstream selection
  are pure functions of their input and of a clock that the caller passes in.
  These scenarios call them without any process.

  Scenario: The queue serves higher importance first, then workspaces in equal shares
    Given a queue with 6 requests of "large", then 2 of "small", then 1 important of "large"
    Then the requests leave the queue in the order "large small large small large large large large large"
    And the important request leaves the queue first

  Scenario: An attempt that cannot begin before its target is rejected at once
    Given an admission controller whose 8 slots are held for 4 s each
    When an attempt with a target of 100 ms arrives
    Then it is rejected with "deadline_too_short"
    When an attempt with a target of 60000 ms arrives
    Then it is queued

  Scenario: A stalled upstream rejects attempts, then admits one as a probe
    Given an admission controller whose 8 slots are held for 4 s each
    When no event arrives for 10 s
    Then an attempt is rejected with "overloaded"
    When all 8 attempts are released
    Then 1 of 3 attempts is admitted

  Scenario: The weight of a load report falls with its age
    Given a report of 40 attempts of other hosts and a mean of 10
    Then after 0 s the expected load is about 40
    And after 60 s the expected load is about 10

  Scenario: A rejection updates the load estimate
    Given a report of 0 attempts of other hosts and a mean of 10
    When the upstream rejects an attempt
    Then the expected load is at its limit

  Scenario: At most a third of the upstreams are ejected
    Given an outlier detector with successful results from 9 hosts
    When 5 of them fail 20 times each
    Then 3 of them are ejected
    When a probe of an ejected host succeeds
    Then 2 of them are ejected

  Scenario: The retry budget is a share of the successful requests
    Given an empty retry budget
    When 100 requests succeed
    Then 5 retries of high importance are allowed
    When 10 requests succeed
    Then 0 retries of low importance are allowed

  Scenario: A selection examines no more of 1300 upstreams than of 16
    Then a selection examines no more of 1300 upstreams than of 16

  Scenario: The near data centre is preferred until its upstreams are full
    Given 4 near upstreams with load 2 of 10 and 4 far ones with load 0 of 10
    Then all of 50 selections are near
    Given 4 near upstreams with load 15 of 10 and 4 far ones with load 2 of 10
    Then all of 50 selections are far

  Scenario: The only usable upstream is found whichever is sampled first
    Given 2 upstreams of which only the last is usable
    Then each of 1000 selections finds it
    Given 1300 upstreams of which only the last is usable
    Then each of 20 selections finds it
