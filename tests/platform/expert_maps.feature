Feature: Expert maps: replication steps, demand estimates and map switches

  A group is as slow as its most loaded rank. Replication steps copy experts in
  demand to other ranks, and a map switch applies the new layout to all ranks
  between two passes. Guards against uneven load, against copies for little gain,
  and against switches that leave ranks on different maps or hold a pass forever.

  Scenario: One replication step copies an expert in demand to many ranks
    Given a group of 8 ranks with 64 experts in 6 sets, assigned round robin
    When expert 7 gets 35% of the choices in every set
    And a replication step with up to 2 copies per rank is planned
    Then no rank copies more than 2 experts
    And the maximum load falls from more than 3.0 to less than 1.7

  Scenario: Repeated replication steps even the load of the ranks
    Given a group of 8 ranks with 64 experts in 6 sets, assigned round robin
    When expert 7 gets 35% of the choices in every set
    And 5 replication steps with up to 2 copies per rank are planned
    Then the maximum load is less than 1.2
    And every expert is held by a rank, and no rank holds more than 11 of a set

  Scenario: Even demand causes no copies
    Given a group of 8 ranks with 64 experts in 6 sets, assigned round robin
    When every expert gets the same number of choices
    And a replication step with up to 2 copies per rank is planned
    Then nothing is copied

  Scenario: Copies that reduce the maximum load too little are not made
    Given a group of 8 ranks with 64 experts in 6 sets, assigned round robin
    When expert 7 gets 35% of the choices in every set
    And 5 replication steps with up to 2 copies per rank and a minimum gain of 0.1 are planned
    Then the maximum load is less than 1.4
    And less than half as many experts are copied as with the default minimum gain

  Scenario: A group of 32 ranks with few spare expert slots
    Given a group of 32 ranks with 128 experts in 12 sets, assigned round robin
    When expert 7 gets 35% of the choices in every set
    And 5 replication steps with up to 2 copies per rank are planned
    Then the maximum load falls by more than half
    And every expert is held by a rank, and no rank holds more than 5 of a set

  Scenario: The estimate follows a change of demand within one window
    Given demand for expert 3 in 50 windows
    When the demand is for expert 9 in 1 window
    Then the estimate gives expert 9 more than half of the demand

  Scenario: Noise does not reset the estimate
    Given demand for expert 3 in 50 windows
    When the demand varies by a tenth in 10 windows
    Then the estimate was not reset

  Scenario: Counters that a rank reset by restarting do not count as a change of demand
    Given demand for expert 3 in 50 windows
    When rank 0 restarts and its counters start at 0
    Then the estimate was not reset

  Scenario: A switch completes when every rank carries out its orders
    Given a group of 3 ranks in pass 10
    When a switch to version 7 is run and every order is carried out
    Then all ranks use version 7 and no pass is held

  Scenario: A pass is released only after every rank has reported that it is armed
    Given a group of 3 ranks in pass 10
    When a switch to version 7 is run and rank 2 ignores orders to arm
    Then pass 12 is held and no order to release it was sent

  Scenario: No rank is disarmed while all ranks may be armed
    Given a group of 3 ranks that holds pass 12, all armed with version 7
    When a newer coordinator prepares version 9
    Then no rank is ordered to disarm

  Scenario: Armed ranks are disarmed after another rank has prepared a newer version
    Given a group of 3 ranks that holds pass 12, all armed with version 7
    When rank 1 has prepared version 9 instead
    And a newer coordinator prepares version 9
    Then ranks 0 and 2 are ordered to disarm version 7

  Scenario: A coordinator that failed between hold and release is replaced
    Given a group of 3 ranks that holds pass 12 and has prepared version 7
    Then any coordinator can complete the switch to version 7
    When it is run and every order is carried out
    Then all ranks use version 7 and no pass is held

  Scenario: A switch that cannot be completed is replaced by one to a newer version
    Given a group of 3 ranks that holds pass 12 and has prepared version 7
    When rank 1 has prepared version 5 instead
    Then no coordinator can complete a switch
    When the next coordinator recovers with version 9
    Then all ranks use version 9 and no pass is held

  Scenario: A new epoch of the group abandons the switch
    Given a group of 3 ranks in pass 10
    When a switch to version 7 is started and the group gets a new epoch
    Then the switch is abandoned

  Scenario: The view of an incomplete group names the missing ranks
    Given a view of a group that received the state of all 4 ranks
    When 1 s later all ranks but rank 2 report, rank 3 as closed
    Then the group is incomplete, and ranks "2 3" are missing
