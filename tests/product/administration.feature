Feature: Operators use the command line

  Background:
    Given a system with operators' keys

  Scenario: A target is changed, shown in the history, and rolled back
    When "on-call" runs "config get --workspace=buna"
    Then the command prints "caption"
    When "on-call" sets the retries of "caption" to 1
    Then the command prints "version 2 is accepted"
    When "on-call" runs "config history"
    Then the command prints "workspaces/buna/classes/caption/retries"
    When "on-call" runs "config diff 1 2"
    Then the command prints "workspaces/buna/classes/caption/retries"
    When "on-call" runs "config rollback-as-new-version 1"
    Then the command prints "version 3 is accepted"
    And every entry host has version 3 in force

  Scenario: Of two operators at once one gets the difference
    When "on-call" sets the retries of "caption" to 1
    And "on-call" sets the retries of "caption" to 2 over version 1
    Then the command fails with status 5 and says "workspaces/buna/classes/caption/retries"

  Scenario: An operator of one workspace sees and changes only that one
    When "buna-operator" publishes workspace "buna" with retries 0
    Then the command prints "version 2 is accepted"
    When "buna-operator" publishes workspace "other" with retries 0
    Then the command fails with status 4 and says "does not permit"
    When "other-operator" runs "config get"
    Then the command does not print "caption"
    When "other-operator" runs "config history"
    Then the command does not print "caption"
    When "other-operator" runs "report --format=json"
    Then the command does not print "buna"
    When "buna-operator" runs "drain agent-engine-1"
    Then the command fails with status 4 and says "does not permit"
    When "accounts" runs "drain agent-engine-1"
    Then the command fails with status 4 and says "does not permit"
    When "nobody" runs "status"
    Then the command fails with status 4 and says "POLLENTHREAD_KEY"

  Scenario: A change of another workspace is no conflict
    When "on-call" adds the workspace "other"
    And "buna-operator" publishes workspace "buna" with retries 0 over version 1
    Then the command prints "version 3 is accepted"

  Scenario: Targets that are not valid are refused with the key
    When "on-call" sets the retries of "caption" to 99
    Then the command fails with status 3 and says "caption.retries"
    And every entry host has version 1 in force

  Scenario: A drained upstream gets no new work until it is back
    When "on-call" runs "drain agent-engine-1"
    Then no new work reaches "agent-engine-1"
    When "on-call" runs "undrain agent-engine-1"
    Then new work reaches "agent-engine-1"
    When "on-call" runs "drain entry-1"
    Then callers are no longer given the address of "entry-1"

  Scenario: The table is down
    When the table goes down
    And "on-call" runs "config get"
    Then the command fails with status 6 and says "table service is unavailable"
    When "on-call" runs "status"
    Then the command prints "targets_version"
