Feature: Model checking of the protocol invariants

  A protocol can violate an invariant in an interleaving that no test runs. The
  checker visits every reachable state of a bounded specification. It also
  removes each guard in turn, which shows that the invariants detect its loss.

  Scenario Outline: The invariants hold, and every guard is necessary
    When the specification "<name>" is checked within its bounds
    Then every invariant holds in every reachable state
    And every mutant of "<name>" violates an invariant

    Examples:
      | name                   |
      | claims                 |
      | leases                 |
      | configuration          |
      | restored store         |
      | switch with a restart  |
      | switch with a takeover |
      | map switch on the platform |
