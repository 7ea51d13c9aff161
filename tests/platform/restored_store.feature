Feature: The store comes back from an older copy of itself

  After an outage the store may have lost its last seconds. Its versions are lower
  then and are given out again. What the operator and the servers wrote in the
  lost seconds is written again.

  # Guards against a change that is never in force, since hosts wait for changes
  # after a version of before the restoration: CONFIG.
  Scenario: A change right after the restoration is in force everywhere
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 6 s without a change
    And the store is copied
    And server "s-2" begins to drain
    And the configuration changes to version 2
    And the hosts have run for 1 s without a change
    And the store is away for 2 s and comes back from the copy
    And the configuration is written again as version 2 and then 3
    And the servers write their entries again
    And the store answers every host
    Then within 1.5 s every host knows version 3 and does not use "s-9"

  # Guards against hosts that read the store without a pause while its version is
  # lower than one that they knew.
  Scenario: Hosts do not call the restored store without a pause
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 6 s without a change
    And the store is copied
    And server "s-2" begins to drain
    And the configuration changes to version 2
    And the hosts have run for 1 s without a change
    And the store is away for 2 s and comes back from the copy
    And the store answers every host
    And the hosts have run for 10 s without a change
    Then they call the store at most 4 times per second

  # Guards against a server that had left and is used again because the copy lists
  # it: DRAIN.
  Scenario: Servers that left in the lost seconds are not used again
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 6 s without a change
    And the store is copied
    And server "s-1" begins to drain
    And server "s-2" is removed
    And the hosts have run for 1 s without a change
    And the store is away for 2 s and comes back from the copy
    And the store answers every host
    Then for 2 s no host uses "s-1" or "s-2"

  # Guards against servers that are given up because the copy does not have them.
  Scenario: Servers that joined in the lost seconds stay in use
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 6 s without a change
    And the store is copied
    And server "s-4" joins
    And the hosts have run for 1 s without a change
    And the store is away for 2 s and comes back from the copy
    And the store answers every host
    And 1.5 s later server "s-4" is listed again
    Then for 4 s every host uses "s-4"
