Feature: Too little room for all requests

  Callers of captions wait for them, those of listings soon need them, those of
  texts may wait a second. 63 servers of 5 slots and 32 entry hosts serve them;
  the oracle is one host that sees the true load of every server.

  # A burst of those who may wait must not make those late who cannot.
  Scenario: A burst of the least important level leaves the most important one in time
    Given captions, listings and texts at their usual rates
    And texts arrive at 2.5 times their rate from second 2 to 8
    When the callers are played against the fleet and the oracle
    Then captions are in time at least 0.95 as often as with the oracle
    And no level is served less often than a less important one by over 5 in 100
    And all levels are served at least a quarter as often as all callers

  Scenario: A burst of the most and the least important level at once
    Given captions, listings and texts at their usual rates
    And texts arrive at 2.5 times their rate from second 2 to 8
    And captions arrive at 2.5 times their rate from second 2 to 8
    When the callers are played against the fleet and the oracle
    Then captions are in time at least 0.95 as often as with the oracle
    And no level is served less often than a less important one by over 5 in 100
    And all levels are served at least a quarter as often as all callers

  # The floor: the least important level is not starved.
  Scenario: The most important level alone is more than there is room for
    Given captions, listings and texts at their usual rates
    And captions arrive at 7 times their rate from second 2 to 8
    When the callers are played against the fleet
    Then no level is served less often than a less important one by over 5 in 100
    And all levels are served at least a quarter as often as all callers

  Scenario: One workspace sends half of all requests
    Given 8 workspaces that send 160 texts per second, and one that sends as many
    When the callers are played against the fleet
    Then no other workspace is served or in time less than half as often as all

  # Who repeats at once takes no more than its share.
  Scenario: A workspace repeats refused requests at once, three times
    Given 8 workspaces that send 200 texts per second, and one of them repeats at once
    When the callers are played against the fleet
    Then no other workspace is served or in time less than half as often as all

  Scenario Outline: Hosts know little of the load
    Given captions, listings and texts at their usual rates
    And texts arrive at 2.5 times their rate from second 2 to 8
    And <what>
    When the callers are played against the fleet
    Then captions are in time at least as often as texts less 5 in 100
    And no level is served less often than a less important one by over 5 in 100

    Examples:
      | what                                        |
      | load reports are up to 0.6 s old            |
      | one host hears nothing                      |
      | one host restarts at second 4               |
      | all servers take twice as long from second 4 |

  # The wave of those who return must not make new callers late, who still can be
  # in time.
  Scenario: New callers are in time soon after an outage
    Given captions, listings and texts at their usual rates
    And all servers are down from second 3 to 4.5
    When the callers are played against the fleet and the oracle
    Then from second 5 on captions are in time at least 0.95 as often as with the oracle
    And at least 95 in 100 of all callers are served

  Scenario: Nothing waits on a quiet day
    Given captions, listings and texts at their usual rates
    When the callers are played against the fleet
    Then no request has waited at a host
