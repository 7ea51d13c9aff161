Feature: Planned stop

  Scenario Outline: A stop under load cuts and loses nothing: <host>
    Given a system with 2 entry hosts, 2 engines and 1 service
    And every engine has the faults {"token_s": 0.02}
    When callers stream 100 tokens and pay at both entry hosts, again and again
    And "<host>" is asked to stop
    Then "<host>" stops with status 0 and has cut nothing
    And every caller has had whole answers of its own
    And every payment has had one effect

    Examples:
      | host           |
      | entry-1        |
      | agent-engine-1 |

  Scenario: An entry host that leaves is not among the addresses
    Given a system with 2 entry hosts, 2 engines and 1 service
    And every engine has the faults {"token_s": 0.02}
    When "entry-1" is asked to stop
    Then entry host 2 comes to leave entry host 1 out of its addresses

  Scenario Outline: A second signal stops at once and says what was cut: <host>
    Given a system with 2 entry hosts, 1 engines and 1 service
    And every engine has the faults {"token_s": 0.02}
    When 4 streams of 1000 tokens run
    And "<host>" is asked to stop
    And "<host>" is asked to stop again
    Then "<host>" stops and names what was cut

    Examples:
      | host           |
      | entry-1        |
      | agent-engine-1 |
