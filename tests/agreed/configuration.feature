Feature: Configuration is in force everywhere and never reverts

  Scenario: Two operators at once, a hundred times
    Given a system with 3 entry hosts, 1 engines and 0 service
    When two operators publish at once 100 times
    Then each time one has won and the other was shown what changed
    And no entry host has ever gone back
    And every entry host has the newest version

  Scenario: The answer to a publication is lost after it took effect
    Given a system with 2 entry hosts, 1 engines and 0 service
    When the table loses the answers to the next 1 writes
    And an operator publishes
    Then the operator is told that version 2 is accepted
    And every entry host has the newest version

  Scenario: Old reads do not bring an old version back
    Given a system with 2 entry hosts, 1 engines and 0 service
    When an operator publishes
    Then every entry host has the newest version
    When the next 6 reads of the table are old
    Then no entry host goes back within 3 seconds

  Scenario: A fresh host takes the highest version from its peers
    Given a system with 3 entry hosts, 1 engines and 0 service
    When an operator publishes
    Then every entry host has the newest version
    When the table is down
    And entry host 2 is killed and replaced
    Then every entry host has the newest version
    And entry host 2 serves

  Scenario: A host cut off from everything refuses new work and comes back
    Given a system with 3 entry hosts, 1 engines and 0 service
    When the table is down
    And entry hosts 2 and 3 are paused
    Then entry host 1 refuses with "stale_configuration"
    When entry hosts 2 and 3 go on
    Then entry host 1 serves
    And entry host 1 shows "serve_unproved"
    When the table is up
    Then entry host 1 shows "serve"

  Scenario: Half of the entry hosts are replaced at once
    Given a system with 4 entry hosts, 1 engines and 0 service
    When an operator publishes
    And entry hosts 1 and 2 are killed and replaced at once
    Then every entry host has the newest version
    And entry host 1 serves
