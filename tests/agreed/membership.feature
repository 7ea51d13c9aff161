Feature: Hosts detect which hosts are alive and which shut down

  Entry hosts learn of dead, unresponsive and terminating hosts from their links
  and from the host list. A stale or unavailable list, or a network failure that
  makes hosts unresponsive, must not lead to the removal of live hosts, to new
  requests at terminating ones or to interrupted requests.

  Scenario: A dead entry host is removed from the advertised addresses
    Given a system with 4 entry hosts, 1 engines and 0 service
    When entry host 2 is killed
    Then entry host 1 does not advertise entry host 2

  Scenario: An upstream shuts down while the host list is stale
    Given a system with 2 entry hosts, 2 engines and 0 service
    When the host list stops updating
    And the agent of engine 1 receives a stop signal during requests
    Then no entry host sends new requests to engine 1

  Scenario: The host list marks an agent as terminating
    Given a system with 2 entry hosts, 2 engines and 0 service
    When the host list marks engine 1 as terminating
    Then no entry host sends new requests to engine 1

  Scenario: The host list is unavailable
    Given a system with 3 entry hosts, 1 engines and 0 service
    When the host list is unavailable
    Then entry host 1 serves

  Scenario: Every entry host is replaced in turn under load
    Given a system with 3 entry hosts, 2 engines and 0 service
    When callers send requests while each entry host is replaced gracefully
    Then every request was completed or rejected as not executed

  Scenario: Hosts are not removed while a large part of the fleet is unresponsive
    Given 9 entry hosts of which 4 are unresponsive
    Then the assessment is panic and 9 hosts are usable
    Given 9 entry hosts of which 3 are unresponsive
    Then the assessment is calm and 6 hosts are usable

  Scenario: The selected links connect all entry hosts
    Given 400 entry hosts in 21 data centres of 6 regions
    Then each host has at most 40 links and all hosts are connected
    And each data centre has 2 pollers
    And with 1300 upstreams each entry host has at most 48 upstream links
