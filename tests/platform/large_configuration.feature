Feature: A large configuration reaches every host in time

  Guards against confirmed versions that are not in force after config_ms,
  because a document with many routes fills the links of the hosts that pass it
  on.

  # Guards against hosts that all fetch a large document from one watcher, and
  # abandon the transfer after a fixed time.
  Scenario: A configuration with many routes is in force in time
    Given a fleet with links and the configuration version 1
    When the operator adds 1500 routes as version 2
    Then within 3 s every entry host has version 2

  # Guards against agents that ask again and again for a document that their
  # links cannot carry in time, and thereby fill the links of the watchers.
  Scenario: A small change after a large one is in force in time
    Given a fleet with links and the configuration version 1
    When the operator adds 1500 routes as version 2
    And 8 s pass
    And the operator changes one route as version 3
    Then within 3 s every entry host has version 3

  # Guards against heartbeats that wait behind a document on the links.
  Scenario: No host takes another one for dead while a large configuration spreads
    Given a fleet with links and the configuration version 1
    When the operator adds 1500 routes as version 2
    And 8 s pass
    Then no heartbeats of a host were missed

  # Guards against the whole document for everybody after each of many changes.
  Scenario: Changes in quick succession after a large one are in force in time
    Given a fleet with links and the configuration version 1
    When the operator adds 1500 routes as version 2
    And 8 s pass
    And the operator changes one route 25 times, each 0.06 s, up to version 27
    Then within 3 s every entry host has version 27
    And no heartbeats of a host were missed

  # Guards against routes and keys at agents, whose links carry little.
  Scenario: An agent receives what it needs of a large configuration
    Given a fleet with links and the configuration version 1
    When the operator adds 1500 routes as version 2
    And 10 s pass
    Then every agent has version 2 and received at most 30 kB per second

  # Guards against keys of callers at hosts that have no use for them.
  Scenario: An agent gets the services only
    Given a document with 3 routes, 2 services and 2 workspaces
    When an agent fetches it from an entry host
    Then it has version 7 with the services, and neither routes nor workspaces

  # Guards against a large document that only the lost watchers had.
  Scenario: A large configuration is in force in time although watchers are cut off
    Given a fleet with links and the configuration version 1
    When the operator adds 1500 routes as version 2
    And the watchers of data centre 0 are cut off
    Then within 3 s every reachable entry host has version 2

  # Guards against a new process that waits behind the others.
  Scenario: A host that starts while a large configuration spreads has it in time
    Given a fleet with links and the configuration version 1
    When the operator adds 1500 routes as version 2
    And entry host "edge-1-3" restarts
    And the operator changes one route as version 3
    Then within 3 s every entry host has version 3
