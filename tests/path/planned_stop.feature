Feature: Graceful shutdown

  Under load, an entry host or an agent that stops after its first signal must
  not interrupt or lose requests. A second signal stops it at once, and it then
  reports every request that it interrupted.

  Scenario Outline: A graceful shutdown under load interrupts no request: <host>
    Given a system with 2 entry hosts, 2 engines and 1 service
    And every engine has the faults {"token_s": 0.02}
    When callers repeatedly stream 100 tokens and pay at both entry hosts
    And "<host>" receives a stop signal
    Then "<host>" exits with status 0 and has interrupted nothing
    And every caller has received complete responses to its own requests
    And every payment has had one effect

    Examples:
      | host           |
      | entry-1        |
      | agent-engine-1 |

  Scenario: An entry host that shuts down is removed from the addresses
    Given a system with 2 entry hosts, 2 engines and 1 service
    And every engine has the faults {"token_s": 0.02}
    When "entry-1" receives a stop signal
    Then entry host 2 eventually removes entry host 1 from its addresses

  Scenario Outline: A second signal stops at once and reports what was interrupted: <host>
    Given a system with 2 entry hosts, 1 engines and 1 service
    And every engine has the faults {"token_s": 0.02}
    When 4 streams of 1000 tokens are running
    And "<host>" receives a stop signal
    And "<host>" receives a second stop signal
    Then "<host>" exits and reports what was interrupted

    Examples:
      | host           |
      | entry-1        |
      | agent-engine-1 |

  Scenario: A caller that does not read does not delay a graceful shutdown
    Given a system with 1 entry hosts, 1 engines and 1 service
    When a caller requests 200000 tokens and does not read the response
    And the engine stops producing tokens
    And "entry-1" receives a stop signal
    Then "entry-1" exits with status 0 and has interrupted nothing
