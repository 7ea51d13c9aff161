Feature: A check of a configuration before it is sent

  `pollenthread check` finds what validation lets pass: entries that never match, and
  limits that contradict each other. Guards against a change that is accepted and then
  does not do what its author meant.

  Scenario: All mistakes of a configuration are found, with line and path
    When "mistakes.json" is checked
    Then the exit status is 3 and these are found
      | line | path                                  | severity | rule                    |
      | 5    | routes[1].path_prefix                 | error    | covered                 |
      | 6    | routes[2].name                        | error    | duplicate-name          |
      | 7    | routes[3].path_prefix                 | error    | never-matches           |
      | 8    | routes[4].host                        | error    | never-matches           |
      | 9    | routes[5].kind                        | error    | invalid                 |
      | 10   | routes[6].timeout_ms                  | error    | invalid                 |
      | 11   | routes[7].timeout_ms                  | error    | timeout-under-target    |
      | 12   | routes[8].max_attempts                | warning  | attempts-beyond-timeout |
      | 13   | routes[9].service                     | error    | unknown-service         |
      | 14   | routes[10].gap_aim_ms                 | error    | timeout-under-target    |
      | 15   | routes[11].can_resume                 | warning  | no-effect               |
      | 16   | routes[12].priority                   | warning  | overridden              |
      | 17   | routes[13].traffic_split              | error    | no-service              |
      | 21   | services[0].max_connections           | error    | no-room                 |
      | 22   | services[1].name                      | error    | duplicate-name          |
      | 23   | services[2].name                      | warning  | unused                  |
      | 24   | services[3].engine.kv_capacity_tokens | error    | no-room                 |
      | 28   | tenants[1].api_keys[0]                | error    | covered                 |
      | 29   | tenants[2].api_keys                   | warning  | never-matches           |
      | 31   | limits.max_body_bytes                 | error    | no-room                 |
      | 31   | limits.idle_timeout_ms                | warning  | idle-under-head         |

  Scenario: All mistakes of targets are found, with line and path
    When "mistakes.yaml" is checked
    Then the exit status is 3 and these are found
      | line | path                                                   | severity | rule                 |
      | 4    | workspaces.mugs.classes                                | warning  | overridden           |
      | 7    | workspaces.mugs.classes.slow-report.latency.answer_ms  | warning  | timeout-under-target |
      | 13   | workspaces.mugs.classes.chat.latency.first_token_ms    | warning  | never-matches        |
      | 14   | workspaces.mugs.classes.chat.latency.between_tokens_ms | error    | timeout-under-target |

  Scenario: Nothing is found in the samples of the project
    Then nothing is found in the examples

  Scenario: Differences to the version in force are shown, without keys
    When "next.json" is checked against "valid.json"
    Then the exit status is 0 and nothing is found
    And these changes are shown
      | path                         |
      | routes/a/timeout_ms          |
      | services/svc/max_connections |
      | tenants/buna/api_keys        |
      | version                      |
    And no key is shown

  Scenario: A version that is older than the one in force is an error
    When "valid.json" is checked against "next.json"
    Then the exit status is 3 and these are found
      | line | path    | severity | rule        |
      | 2    | version | error    | old-version |

  Scenario: The version in force is read from an administration port
    Given a system with published targets
    When its targets are checked against its administration port
    Then the exit status is 0 and nothing is found
