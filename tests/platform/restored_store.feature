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

  # Guards against hosts that nobody finds, since their registration was lost.
  Scenario: A host whose registration was lost registers again
    Given 3 data centres with 3 entry hosts each
    When the store is copied
    And the hosts have run for 6 s without a change
    And the store is away for 2 s and comes back from the copy
    And the store answers every host
    Then within 4 s the store has the registrations of all hosts

  # Guards against a server that is kept from use for good, because it had been
  # unreachable for a while before the store came back from a copy.
  Scenario: A server that is still listed long after the restoration is used
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 6 s without a change
    And the store is copied
    And server "s-2" is removed
    And the hosts have run for 1 s without a change
    And the store is away for 2 s and comes back from the copy
    And the store answers every host
    And the hosts have run for 12 s without a change
    Then for 1 s every host uses "s-2"

  # Guards against hosts that take content of before the restoration for newer,
  # since its counter is higher.
  Scenario: A later era precedes every counter of an earlier one
    Given versions 67 of era 1, 60 of era 2 and 61 of era 2
    Then each is greater than the one before, and so are their tokens
    And a peer that tells no era is taken to be in the known one

  # Guards against a follower that gives content of an earlier era to its listener.
  Scenario: A table read in an earlier era than a peer has told of is dropped
    Given a follower whose listener knows version 3 of era 2
    When the store responds with version 90 of era 1
    Then the listener receives nothing

  # Guards against two coordinators of one group with the same fencing token: the
  # duty is acquired in the copy at the counter at which it was acquired before.
  Scenario: A fencing token is not given out twice
    Given a duty that was acquired at version 66 of era 1
    When another agent acquires it at version 66 of era 2
    Then its term is greater than the first one
    And maps of the first one have lower versions

  # Guards against combinations of changes, restarts and restorations after which a
  # host goes back, or never learns of something.
  Scenario: Hosts know the truth at the end of random histories of the store
    When the histories with seeds 0 to 9 are run
    Then no host goes back and all know the truth at their ends
