Feature: The room of a model group as it is now

  All ranks of a group run their passes together, so one slow or stopped rank
  takes room from all of them. Entry hosts that go on as before send requests
  that end late, or that wait in the queue of a group that makes no progress.

  Scenario Outline: A group that becomes slower has the room that its passes leave
    Given a group of 24 ranks with 4 of 5 slots in use that report every <interval> s
    When its passes take <factor> times as long from second 4 to 8
    Then at second <known> a pass of the forecast differs by under 20% from the true one
    And at second <known> passes at the forecast slots keep a gap of 120 ms, or all slots count
    And at second 9 the forecast has all 120 slots

    Examples:
      | factor | interval | known |
      | 1.2    | 0.25     | 5     |
      | 1.6    | 0.25     | 5     |
      | 2.0    | 0.25     | 5     |
      | 4      | 0.25     | 6     |
      | 12     | 0.25     | 7     |
      | 1.6    | 0.6      | 5     |

  Scenario Outline: A group that stops has no room until it runs again
    Given a group of 24 ranks with 4 of 5 slots in use that report every <interval> s
    When it makes no pass for <stop> s from second 4
    Then the forecast has no free slot from 0.6 s after its last pass
    And 0.5 s after it runs again a pass of the forecast differs by under 20% from the true one
    And 0.5 s after it runs again the forecast has 24 free slots

    Examples:
      | stop | interval |
      | 1    | 0.25     |
      | 4    | 0.25     |
      | 4    | 0.6      |

  Scenario: What was measured before a group closed is forgotten
    Given a group of 24 ranks with 4 of 5 slots in use that report every 0.25 s
    When its passes take 4 times as long from second 4 to 8
    And it closes at second 8 and opens in a new epoch at second 9
    Then at second 10 a pass of the forecast differs by under 20% from the true one

  Scenario: Requests go to a group that makes passes
    Given a group of 8 ranks with 1 of 5 slots in use that report every 0.25 s
    And another such group with 4 of 5 slots in use
    When the first makes no pass for 1 s from second 4
    Then 0.6 s after its last pass 20 requests all go to the other one

  Scenario: Room that no report tells of is unknown
    Given a group of 24 ranks with 4 of 5 slots in use that report every 0.25 s
    When its agents stop reporting at second 4
    Then at second 4 the reports are at most 0.3 s old on average
    And at second 6 nothing is known of its room

  Scenario: Operators see a stop and its end in one line each
    Given a group of 24 ranks with 4 of 5 slots in use that report every 0.25 s
    When it makes no pass for 1 s from second 4
    And its pace is watched every 0.1 s from second 3 to 8
    Then 1 stop is counted
    And the log has 3 lines about its pace, the first for its usual pace
