Feature: Even ranks by small copies

  Scenario: A hot expert reaches many ranks in one short step
    Given a group of 8 ranks with 64 experts in 6 sets, placed in turn
    When expert 7 gets 35 of 100 choices in every set
    And a step with 2 copies a rank is planned
    Then no rank copies more than 2 experts
    And the greatest load falls from more than 3.0 to less than 1.7

  Scenario: Steps go on until ranks are even
    Given a group of 8 ranks with 64 experts in 6 sets, placed in turn
    When expert 7 gets 35 of 100 choices in every set
    And 5 steps with 2 copies a rank are planned
    Then the greatest load is less than 1.2
    And every expert is held, and no rank holds more than 11 of a set

  Scenario: Even demand moves nothing
    Given a group of 8 ranks with 64 experts in 6 sets, placed in turn
    When every expert gets the same
    And a step with 2 copies a rank is planned
    Then nothing is copied

  Scenario: A copy that takes little off the greatest load is not made
    Given a group of 8 ranks with 64 experts in 6 sets, placed in turn
    When expert 7 gets 35 of 100 choices in every set
    And 5 steps with 2 copies a rank that take off 0.1 each are planned
    Then the greatest load is less than 1.4
    And less than half as many experts were copied as without that bound

  Scenario: A group of the large deployments, with few spare places
    Given a group of 32 ranks with 128 experts in 12 sets, placed in turn
    When expert 7 gets 35 of 100 choices in every set
    And 5 steps with 2 copies a rank are planned
    Then the greatest load falls by more than half
    And every expert is held, and no rank holds more than 5 of a set

  Scenario: A change of demand is seen in one window
    Given demand that was for expert 3 in 50 windows
    When it is for expert 9 in 1 window
    Then expert 9 has more than half of the estimate

  Scenario: Noise does not begin the estimate anew
    Given demand that was for expert 3 in 50 windows
    When it wavers by a tenth in 10 windows
    Then the estimate did not begin anew

  Scenario: Counts of a rank that restarted are not taken for demand
    Given demand that was for expert 3 in 50 windows
    When rank 0 restarts and counts from 0
    Then the estimate did not begin anew

  Scenario: A switch goes through when every rank follows
    Given a group of 3 ranks in pass 10
    When a switch to version 7 is driven and every order takes effect
    Then all ranks use version 7 and no pass is held

  Scenario: A pass is released only when every rank is seen armed
    Given a group of 3 ranks in pass 10
    When a switch to version 7 is driven and rank 2 takes no arming
    Then pass 12 is held and no release was ordered

  Scenario: An armed rank is not disarmed while all may be armed
    Given a group of 3 ranks whose pass 12 is held, all armed with version 7
    When a newer decider prepares version 9
    Then no rank is told to disarm

  Scenario: An armed rank is disarmed once another holds a newer version
    Given a group of 3 ranks whose pass 12 is held, all armed with version 7
    When rank 1 has prepared version 9 instead
    And a newer decider prepares version 9
    Then ranks 0 and 2 are told to disarm version 7

  Scenario: A holder that vanished between hold and release
    Given a group of 3 ranks whose pass 12 is held, version 7 prepared
    Then the switch to version 7 can be completed by anybody
    When it is driven and every order takes effect
    Then all ranks use version 7 and no pass is held

  Scenario: What cannot be completed is made harmless by a new version
    Given a group of 3 ranks whose pass 12 is held, version 7 prepared
    When rank 1 has prepared version 5 instead
    Then nobody can complete a switch
    When the next holder recovers with version 9
    Then all ranks use version 9 and no pass is held

  Scenario: A group that is formed anew ends the switch
    Given a group of 3 ranks in pass 10
    When a switch to version 7 is begun and the group gets a new epoch
    Then the switch is abandoned

  Scenario: A group that stands still names the ranks that it misses
    Given all 4 ranks of a group were heard
    When 1 s passes and all but rank 2 are heard, rank 3 as closed
    Then the group is not whole, and ranks "2 3" are missing
