Feature: Validation of settings

  Guards against invalid settings that are accepted, and against errors that do
  not name the file, line, key and allowed values.

  Scenario: All example settings are valid
    Then every file in examples is valid

  Scenario: Mutated settings are rejected with the invalid key
    When 200 settings documents are mutated with seed 7
    Then each is rejected with its file, line and key

  Scenario Outline: The error of invalid targets says what is allowed
    Given the example targets of Tagline with <key> set to <value>
    Then it is rejected with the error "<text>"

    Examples:
      | key                                                    | value | text                                   |
      | workspaces.arena.classes.tag-lookup.retries            | 11    | retries: Input should be less than or equal to 10 (allowed: 0 to 10) |
      | workspaces.arena.classes.tag-lookup.latency.answer_s   | 1     | did you mean answer_ms?                |
      | workspaces.arena.classes.tag-lookup.latency.answer_ms  | 0     | (allowed: 5 to 3600000)                |
      | workspaces.arena.classes.tag-lookup.importance         | "top" | (allowed: low, normal, high)           |
      | workspaces.arena.classes.tag-lookup.latency.first_token_ms | 900 | must not exceed answer_ms            |
      | workspaces.arena.models                                | ["a", "a"] | a stands twice                    |

  Scenario Outline: Settings of an entry host that cannot work are rejected
    Given the example entry settings of Buna with <key> set to <value>
    Then it is rejected with the error "<text>"

    Examples:
      | key            | value             | text                             |
      | admin          | "10.0.1.11:8080"  | both listen on 10.0.1.11:8080    |
      | callers        | "10.0.1.11:80800" | is not between 0 and 65535       |
      | callers        | "10.0.1.999:80"   | callers: Octet 999               |
      | role           | "proxy"           | (allowed: entry, agent)          |
      | account_interval_s | 0             | (allowed: 1 to 600)              |

  Scenario Outline: Text that is not a settings document is rejected
    Given a file with the text <text>
    Then it is rejected with the error "<reason>"

    Examples:
      | text                        | reason                     |
      | "role: entry\nrole: agent"  | :2: role: the key stands twice |
      | "a: [1, 2"                  | not YAML                   |
      | "- one"                     | expected keys and values   |
      | "a: &x [1]\nb: *x"          | references are not taken   |
      | "!!python/object:os.x {}"   | not YAML                   |
      | ""                          | expected keys and values   |

  Scenario: Arbitrary bytes are rejected with an error
    When 300 random texts with seed 3 are checked
    Then each is rejected without an unexpected exception
