Feature: Administration by command line

  Operators change targets, drain hosts and read reports with the command line.
  Guards against lost updates, missing permission checks and unclear errors.

  Background:
    Given a system with operators' keys

  Scenario: A target is changed, shown in the history and rolled back
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
    And every entry host applies version 3

  Scenario: The second of two concurrent changes fails and prints the difference
    When "on-call" sets the retries of "caption" to 1
    And "on-call" sets the retries of "caption" to 2 based on version 1
    Then the command fails with status 5 and the error "workspaces/buna/classes/caption/retries"

  Scenario: An operator of one workspace sees and changes only that workspace
    When "buna-operator" publishes workspace "buna" with retries 0
    Then the command prints "version 2 is accepted"
    When "buna-operator" publishes workspace "other" with retries 0
    Then the command fails with status 4 and the error "does not permit"
    When "other-operator" runs "config get"
    Then the command does not print "caption"
    When "other-operator" runs "config history"
    Then the command does not print "caption"
    When "other-operator" runs "report --format=json"
    Then the command does not print "buna"
    When "buna-operator" runs "drain agent-engine-1"
    Then the command fails with status 4 and the error "does not permit"
    When "accounts" runs "drain agent-engine-1"
    Then the command fails with status 4 and the error "does not permit"
    When "nobody" runs "status"
    Then the command fails with status 4 and the error "POLLENTHREAD_KEY"

  Scenario: A concurrent change of another workspace is not a conflict
    When "on-call" adds the workspace "other"
    And "buna-operator" publishes workspace "buna" with retries 0 based on version 1
    Then the command prints "version 3 is accepted"

  Scenario: Invalid targets are rejected with the invalid key
    When "on-call" sets the retries of "caption" to 99
    Then the command fails with status 3 and the error "caption.retries"
    And every entry host applies version 1

  Scenario: A drained upstream gets no new requests until it is undrained
    When "on-call" runs "drain agent-engine-1"
    Then no new request reaches "agent-engine-1"
    When "on-call" runs "undrain agent-engine-1"
    Then new requests reach "agent-engine-1"
    When "on-call" runs "drain entry-1"
    Then callers no longer get the address of "entry-1"

  Scenario: The upstreams of an emptied data centre get no new requests
    When "on-call" runs "evacuate dc-2"
    Then no new request reaches "agent-engine-1"
    When "on-call" runs "status"
    Then the command prints "dc-2"
    When "on-call" runs "restore dc-2"
    Then new requests reach "agent-engine-1"
    When "accounts" runs "evacuate dc-1"
    Then the command fails with status 4 and the error "does not permit"

  Scenario: The command line reports that the table is unavailable
    When the table becomes unavailable
    And "on-call" runs "config get"
    Then the command fails with status 6 and the error "table service is unavailable"
    When "on-call" runs "status"
    Then the command prints "targets_version"
