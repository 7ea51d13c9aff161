Feature: What must always hold, by model checking

  Scenario Outline: The protocol holds and each of its guards is needed
    When the specification "<name>" is checked within its small bounds
    Then every invariant holds in every reachable state
    And each mutant of "<name>" breaks an invariant

    Examples:
      | name                   |
      | claims                 |
      | leases                 |
      | configuration          |
      | switch with a restart  |
      | switch with a takeover |
      | map switch on the platform |
