Feature: Rebalancing moves experts only if the saving exceeds the cost

  A plan made from missing, late or repeated counts, or for a group that is
  incomplete, could load experts at a cost that it never recovers. The planner
  is a pure function; the scenarios pass it generated counts.

  Background:
    Given a group of 8 ranks on 4 hosts with 32 experts in 4 layers

  Scenario: No reports have arrived
    When no counts arrive
    Then the plan is "too little is known of the popularity" and keeps the map

  Scenario: A group that is being drained or lacks a rank keeps its map
    Given the popularity of expert 5 of each layer is multiplied by 6
    When the group is drained
    Then the plan is "the group is being drained" and keeps the map
    When a rank is missing
    Then the plan is "the group is short of a rank" and keeps the map

  Scenario: A lasting change of popularity justifies loading experts
    Given the popularity of expert 5 of each layer is multiplied by 6
    When 6 plans are applied
    Then the skew is below 1.1
    And the saving of every load exceeds its cost

  Scenario: An expert is not loaded if the load costs more than it saves
    Given the weight store delivers 1 byte per second
    And the popularity of expert 5 of each layer is multiplied by 6
    When 6 plans are applied
    Then no expert was loaded

  Scenario: A budget of zero changes only the split of the load
    Given a rebalancing budget of 0 percent
    And the popularity of expert 5 of each layer is multiplied by 6
    When 6 plans are applied
    Then no expert was loaded
    And the skew is lower than with the first map

  Scenario: Late, repeated and missing counts
    When report 3 arrives before report 2, and report 2 twice
    Then the estimate includes report 2 once and misses no report
    When report 9 arrives next
    Then the estimate misses 5 reports

  Scenario: Equal inputs give equal plans
    Given the popularity of expert 5 of each layer is multiplied by 6
    When 6 plans are applied
    Then equal inputs give equal maps

  Scenario: Replicas of an expert are on different hosts
    Given the popularity of expert 5 of each layer is multiplied by 6
    When 6 plans are applied
    Then every expert with up to 4 replicas has each on a different host

  Scenario: A slow rank is distinguished from an uneven load
    Given a rank that takes 30 percent longer for the same tokens
    And a rank that has 30 percent more tokens
    Then only the first rank is reported as slow

  Scenario: The weight store serves the greatest saving per byte first
    Given groups that request loads from one store
    Then the best load is first and one that would wait too long is left out

  Scenario: A group changes its model only if the demand lasts
    Given two models, and demand that has shifted to the second
    Then one group changes its model if the demand lasts, otherwise none
