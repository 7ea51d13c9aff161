Feature: The lock-step switch of expert maps

  All ranks of a group must use the same expert map in every step. These
  scenarios kill or pause engines, agents and the coordinator, and delay or fail
  the weight store, at different points of the two-phase switch.

  Background:
    Given a rank group of 4 ranks that runs on map 1

  Scenario: All ranks switch the map in the same step
    When map 2 is requested
    Then all ranks eventually use map 2
    And all ranks used the same map in every step

  Scenario Outline: The <what> of a rank is killed while it loads weights
    Given the weight store responds after 3 seconds
    When map 2 is requested
    And 4 ranks are "loading"
    And the <what> of rank 2 is killed and restarted
    And the weight store has no fault
    Then all ranks eventually use map 2
    And all ranks used the same map in every step

    Examples:
      | what   |
      | engine |
      | agent  |

  Scenario Outline: The <what> of a rank is killed while it is armed
    Given the agent of rank 3 is paused once it has loaded map 2
    And 3 ranks are "armed"
    When the <what> of rank 1 is killed and restarted
    And the agent of rank 3 resumes
    Then all ranks eventually use map 2
    And all ranks used the same map in every step

    Examples:
      | what   |
      | engine |
      | agent  |

  Scenario: A rank that restarts after a switch joins with the new map
    When map 2 is requested
    Then all ranks eventually use map 2
    When the engine of rank 1 is killed and restarted
    Then all ranks eventually use map 2
    And all ranks used the same map in every step

  Scenario: The coordinator is paused while all ranks are armed
    Given the agent of rank 3 is paused once it has loaded map 2
    And 3 ranks are "armed"
    When the agent of rank 0 is paused
    And the agent of rank 3 resumes
    And 4 ranks are "armed"
    Then the group completes no step
    When the agent of rank 0 resumes
    Then all ranks eventually use map 2
    And all ranks used the same map in every step

  Scenario: Two agents act as coordinator
    Given the agent of rank 3 is paused once it has loaded map 2
    And 3 ranks are "armed"
    When the agent of rank 0 is paused
    And the agent of rank 3 resumes
    And 4 ranks are "armed"
    And map 3 is requested
    And a second agent of rank 0 is started
    Then all ranks eventually use map 3
    When the first agent of rank 0 resumes
    Then the group completes steps on map 3
    And all ranks used the same map in every step

  Scenario: An order to arm arrives after the switch was given up
    Given the agent of rank 3 is paused once it has loaded map 2
    And 3 ranks are "armed"
    When the coordinator has aborted a switch
    And the agent of rank 3 resumes
    Then all ranks eventually use map 2
    And all ranks used the same map in every step

  Scenario: The weight store fails during a switch
    Given the weight store fails for rank 2
    When map 2 is requested
    And the coordinator has aborted a switch
    Then the group completes steps on map 1
    When the weight store has no fault
    Then all ranks eventually use map 2
    And all ranks used the same map in every step

  Scenario: A stalled switch is aborted and the group keeps its map
    Given the weight store responds after 30 seconds
    When map 2 is requested
    And 4 ranks are "loading"
    And map 1 is requested
    And the coordinator has aborted a switch
    Then the group completes steps on map 1
    And all ranks used the same map in every step
