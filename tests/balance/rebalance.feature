Feature: Rebalancing that pays

  Background:
    Given a group of 8 ranks on 4 hosts with 32 experts in 4 layers

  Scenario: The first reports are lost
    When no counts arrive
    Then the plan is "too little is known of the popularity" and moves nothing

  Scenario: A group that is drained or short of a rank keeps its map
    Given expert 5 of each layer becomes 6 times as popular
    When the group is drained
    Then the plan is "the group is being drained" and moves nothing
    When a rank does not answer
    Then the plan is "the group is short of a rank" and moves nothing

  Scenario: A lasting change is worth its loads
    Given expert 5 of each layer becomes 6 times as popular
    When 6 plans are carried out
    Then the skew is below 1.1
    And every load was paid by its saving

  Scenario: A load that costs more than it saves is not made
    Given the weight store gives 1 byte a second
    And expert 5 of each layer becomes 6 times as popular
    When 6 plans are carried out
    Then no expert was loaded

  Scenario: A budget of nothing changes only the split
    Given a rebalancing budget of 0 percent
    And expert 5 of each layer becomes 6 times as popular
    When 6 plans are carried out
    Then no expert was loaded
    And the skew is lower than with the first map

  Scenario: Late, repeated and missing counts
    When report 3 comes before report 2, and report 2 twice
    Then the estimate counts report 2 once and misses none
    When report 9 comes next
    Then the estimate misses 5 reports

  Scenario: Plans are the same for the same input
    Given expert 5 of each layer becomes 6 times as popular
    When 6 plans are carried out
    Then the same input gives the same maps

  Scenario: Replicas of an expert are on different hosts
    Given expert 5 of each layer becomes 6 times as popular
    When 6 plans are carried out
    Then every expert with up to 4 replicas has each on a host of its own

  Scenario: A slow host is not an uneven map
    Given a rank that takes 30 percent longer for its tokens
    And a rank with 30 percent more tokens
    Then only the first is reported as slow

  Scenario: The shared weight store goes to the greatest saving for a byte
    Given groups that want to load from one store
    Then the best goes first and one that would wait too long does not load

  Scenario: A group changes its model only where demand lasts
    Given two models, and demand that has moved to the second
    Then one group changes if the demand lasts, and none if it does not
