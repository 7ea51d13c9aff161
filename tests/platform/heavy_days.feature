Feature: Server selection under heavy load

  Guards against selections that overload a slow group, one server or an
  unresponsive server while others could serve the request in time.

  Scenario: Requests go to the faster of two groups
    Given groups "fast slow" of 8 servers with passes of 60 and 600 ms
    And every server has 2 running requests
    When a server is selected for each of 30 streams
    Then all of them go to "fast"

  Scenario: Requests go to the slower group while the faster one has a long queue
    Given groups "fast slow" of 8 servers with passes of 60 and 150 ms
    And servers of "fast" have 30 requests each, those of "slow" 2
    When a server is selected for each of 30 streams
    Then all of them go to "slow"

  Scenario: A burst is spread evenly over the servers
    Given groups "one other" of 8 servers with passes of 60 and 62 ms
    And every server has 2 running requests
    When a server is selected for each of 48 streams
    Then no server gets more than 5

  Scenario: A request that no server could start in time is rejected at once
    Given groups "one other" of 8 servers with passes of 60 and 60 ms
    And servers of "one" have 40 requests each, those of "other" 40
    When a server is selected for each of 1 streams
    Then 1 streams are rejected

  Scenario: Unresponsive servers are not selected
    Given groups "one other" of 8 servers with passes of 60 and 60 ms
    And every server has 2 running requests
    And 5 servers stop reporting
    When a server is selected for each of 30 streams
    Then none of them goes to an unresponsive server
