Feature: Where work goes on heavy days

  Scenario: One group works ten times slower than the other
    Given groups "fast slow" of 8 servers with passes of 60 and 600 ms
    And every server works on 2 requests
    When 30 streams are placed
    Then all of them go to "fast"

  Scenario: The fast group has a queue, and the slow one still ends in time
    Given groups "fast slow" of 8 servers with passes of 60 and 150 ms
    And servers of "fast" have 30 requests each, those of "slow" 2
    When 30 streams are placed
    Then all of them go to "slow"

  Scenario: A burst is spread evenly
    Given groups "one other" of 8 servers with passes of 60 and 62 ms
    And every server works on 2 requests
    When 48 streams are placed
    Then no server gets more than 5

  Scenario: What no server could begin in time is refused at once
    Given groups "one other" of 8 servers with passes of 60 and 60 ms
    And servers of "one" have 40 requests each, those of "other" 40
    When 1 streams are placed
    Then 1 streams are refused

  Scenario: A third of the servers leaves at once
    Given groups "one other" of 8 servers with passes of 60 and 60 ms
    And every server works on 2 requests
    And 5 servers fall silent
    When 30 streams are placed
    Then none of them goes to a silent server
