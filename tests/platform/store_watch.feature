Feature: A few entry hosts follow the store for all

  Guards against calls to the store that grow with the deployment, and against
  changes that reach the hosts which do not call it too late or never.

  # Guards against one feed call after the other by every host.
  Scenario Outline: Calls to the store do not grow with the number of hosts
    Given <centres> data centres with <hosts> entry hosts each
    When the hosts have run for 20 s without a change
    Then they call the store at most 4 times per second
    And at least one host of each data centre and 3 in all follow the store

    Examples:
      | centres | hosts |
      | 3       | 3     |
      | 3       | 14    |
      | 5       | 20    |

  # Guards against heartbeats from every host to every other host.
  Scenario: Datagrams of a host do not grow with the number of data centres
    Given 5 data centres with 8 entry hosts each
    When the hosts have run for 20 s without a change
    Then a host receives at most 45 datagrams per second

  Scenario: Changes reach every host soon
    Given 5 data centres with 8 entry hosts each
    When the hosts have run for 10 s without a change
    And server "s-1" begins to drain
    And the configuration changes to version 2
    Then within 0.6 s every host knows version 2 and does not use "s-1"

  # Guards against watchers of other data centres that serve every host, since
  # each of them tells of a change first in one case of three.
  Scenario: Changes are fetched within the data centre
    Given 3 data centres with 14 entry hosts each
    When the hosts have run for 10 s without a change
    And the configuration changes to version 2 and, each 1 s, up to version 9
    Then at most 1 in 20 fetches were from another data centre

  # Guards against a frozen or isolated watcher that keeps changes from others.
  Scenario: Changes reach every host although the watchers of a data centre are cut off
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 10 s without a change
    And the watchers of data centre 0 are cut off
    And server "s-1" begins to drain
    And the configuration changes to version 2
    Then within 1.9 s every reachable host knows version 2 and does not use "s-1"

  # Guards against watchers that the store rejects while it answers others.
  Scenario: Changes reach every host although the store rejects all watchers
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 10 s without a change
    And the store rejects all present watchers
    And server "s-1" begins to drain
    And the configuration changes to version 2
    Then within 4 s every host knows version 2 and does not use "s-1"

  # Guards against a server that had left, or a key that had been withdrawn, in
  # use again after a restart: the new process must not start with old content.
  Scenario: A restarted host does not use what was withdrawn while it was away
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 10 s without a change
    And host "edge-0-1" stops
    And server "s-1" begins to drain
    And server "s-2" is removed
    And the configuration changes to version 2
    And host "edge-0-1" starts while the store rejects it
    Then it never used "s-1", "s-2" or a version before 2
    And within 3 s every host knows version 2 and does not use "s-1"

  # Guards against servers that are dropped because their entries lapsed while
  # the store was away, at hosts that do not call the store themselves.
  Scenario: Entries that lapse while the store is unavailable stay usable everywhere
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 10 s without a change
    And the store rejects every host for 5 s
    And server "s-1" is removed before it answers again
    Then 1.5 s after that every host still uses "s-1"
    And 5 s after that no host uses "s-1"

  Scenario: Addresses for callers of another data centre are known
    Given 5 data centres with 4 entry hosts each
    When the hosts have run for 10 s without a change
    Then every host gives callers of each data centre its 4 addresses

  # Guards against callers that are sent to hosts which ended long ago.
  Scenario Outline: Hosts that ended are not named any more
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 10 s without a change
    And <change>
    And the hosts of data centre <centre> end except for <left>
    And the hosts have run for 6 s without a change
    Then no host names one that has ended

    Examples: changes
      | change                                   | centre | left |
      | every server is removed                  | 1      | 1    |
      | every server is removed                  | 1      | 0    |
      | the configuration changes to version 2   | 1      | 0    |
      | every server is removed                  | any    | 1    |
