Feature: Who is alive and who leaves

  Scenario: A dead entry host leaves the address answers
    Given a system with 4 entry hosts, 1 engines and 0 service
    When entry host 2 is killed
    Then entry host 1 does not name entry host 2

  Scenario: The host list is stale while an upstream leaves
    Given a system with 2 entry hosts, 2 engines and 0 service
    When the host list is frozen
    And the agent of engine 1 is asked to stop while it has work
    Then no entry host sends new work to engine 1

  Scenario: A silent agent is listed as leaving
    Given a system with 2 entry hosts, 2 engines and 0 service
    When engine 1 is listed as leaving
    Then no entry host sends new work to engine 1

  Scenario: The host list is down
    Given a system with 3 entry hosts, 1 engines and 0 service
    When the host list is down
    Then entry host 1 serves

  Scenario: Every entry host is replaced, one by one, under load
    Given a system with 3 entry hosts, 2 engines and 0 service
    When callers ask without pause while each entry host is replaced by plan
    Then every request was answered whole or refused as not run

  Scenario: Silence of most of the fleet is distrusted
    Given 9 entry hosts of which 4 are silent
    Then the judgement is panic and 9 hosts are usable
    Given 9 entry hosts of which 3 are silent
    Then the judgement is calm and 6 hosts are usable

  Scenario: The links of live hosts connect the whole fleet
    Given 400 entry hosts in 21 data centres of 6 regions
    Then each keeps at most 40 links and all are connected
    And each data centre has 2 pollers
    And with 1300 upstreams each entry host keeps at most 48 upstream links
