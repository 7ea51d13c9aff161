Feature: Every entry host applies the newest configuration and never an older one

  Operators publish versions to the table; entry hosts read them there and from
  their peers. Lost responses, stale reads and restarts must not apply an older
  version, lose an accepted one or accept two conflicting ones. A host that
  cannot confirm its version rejects requests.

  Scenario: Two operators publish concurrently, a hundred times
    Given a system with 3 entry hosts, 1 engines and 0 service
    When two operators publish at once 100 times
    Then each time one publication was accepted and the other received the changes
    And no entry host has applied an older version
    And every entry host has the newest version

  Scenario: The response to a publication is lost after it took effect
    Given a system with 2 entry hosts, 1 engines and 0 service
    When the table loses the responses to the next 1 writes
    And an operator publishes
    Then the publication is accepted as version 2
    And every entry host has the newest version

  Scenario: Stale reads do not apply an older version
    Given a system with 2 entry hosts, 1 engines and 0 service
    When an operator publishes
    Then every entry host has the newest version
    When the next 6 reads of the table are stale
    Then no entry host applies an older version within 3 seconds

  Scenario: A restarted host applies the newest version of its peers
    Given a system with 3 entry hosts, 1 engines and 0 service
    When an operator publishes
    Then every entry host has the newest version
    When the table is unavailable
    And entry host 2 is killed and replaced
    Then every entry host has the newest version
    And entry host 2 serves

  Scenario: An isolated host rejects requests until it confirms its version
    Given a system with 3 entry hosts, 1 engines and 0 service
    When the table is unavailable
    And entry hosts 2 and 3 are paused
    Then entry host 1 rejects requests with "stale_configuration"
    When entry hosts 2 and 3 resume
    Then entry host 1 serves
    And entry host 1 reports the permission "serve_unproved"
    When the table is available again
    Then entry host 1 reports the permission "serve"

  Scenario: Half of the entry hosts are replaced at once
    Given a system with 4 entry hosts, 1 engines and 0 service
    When an operator publishes
    And entry hosts 1 and 2 are killed and replaced at once
    Then every entry host has the newest version
    And entry host 1 serves
