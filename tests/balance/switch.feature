Feature: The lock-step switch of expert maps

  Background:
    Given a rank group of 4 ranks that runs on map 1

  Scenario: All ranks change the map in one step
    When map 2 is wanted
    Then the group comes to run on map 2
    And in every step all ranks used the same map

  Scenario Outline: <what> of a rank is killed while its weights load
    Given the weight store answers after 3 seconds
    When map 2 is wanted
    And 4 ranks are "loading"
    And the <what> of rank 2 is killed and started again
    And the weight store is well again
    Then the group comes to run on map 2
    And in every step all ranks used the same map

    Examples:
      | what   |
      | engine |
      | agent  |

  Scenario Outline: <what> of a rank is killed while it is armed
    Given the agent of rank 3 is paused once it has loaded map 2
    And 3 ranks are "armed"
    When the <what> of rank 1 is killed and started again
    And the agent of rank 3 goes on
    Then the group comes to run on map 2
    And in every step all ranks used the same map

    Examples:
      | what   |
      | engine |
      | agent  |

  Scenario: A rank that restarts after a switch joins with the new map
    When map 2 is wanted
    Then the group comes to run on map 2
    When the engine of rank 1 is killed and started again
    Then the group comes to run on map 2
    And in every step all ranks used the same map

  Scenario: The leader is paused while all ranks are armed
    Given the agent of rank 3 is paused once it has loaded map 2
    And 3 ranks are "armed"
    When the agent of rank 0 is paused
    And the agent of rank 3 goes on
    And 4 ranks are "armed"
    Then the group makes no step
    When the agent of rank 0 goes on
    Then the group comes to run on map 2
    And in every step all ranks used the same map

  Scenario: Two leaders
    Given the agent of rank 3 is paused once it has loaded map 2
    And 3 ranks are "armed"
    When the agent of rank 0 is paused
    And the agent of rank 3 goes on
    And 4 ranks are "armed"
    And map 3 is wanted
    And another agent of rank 0 is started
    Then the group comes to run on map 3
    When the first agent of rank 0 goes on
    Then the group makes steps on map 3
    And in every step all ranks used the same map

  Scenario: An order to arm arrives after the switch was given up
    Given the agent of rank 3 is paused once it has loaded map 2
    And 3 ranks are "armed"
    When the leader has given up a switch
    And the agent of rank 3 goes on
    Then the group comes to run on map 2
    And in every step all ranks used the same map

  Scenario: The weight store fails midway
    Given the weight store fails for rank 2
    When map 2 is wanted
    And the leader has given up a switch
    Then the group makes steps on map 1
    When the weight store is well again
    Then the group comes to run on map 2
    And in every step all ranks used the same map

  Scenario: A stalled prepare is abandoned without harm
    Given the weight store answers after 30 seconds
    When map 2 is wanted
    And 4 ranks are "loading"
    And map 1 is wanted
    And the leader has given up a switch
    Then the group makes steps on map 1
    And in every step all ranks used the same map
