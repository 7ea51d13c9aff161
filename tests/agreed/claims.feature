Feature: Requests that must not be repeated are executed at most once

  A claim of the idempotency key in the table guards each such request. The
  guard fails if a claim is lost or granted twice: when the table loses
  responses, returns stale reads or is unavailable, and when an entry host or
  an agent is killed during the attempt.

  Scenario: Concurrent payments at every entry host while the table loses responses
    Given a system with 3 entry hosts, 1 engines and 1 service
    When the table loses the responses to the next 5 writes
    And 30 payments are each sent to every entry host at once
    And each payment is retried until it succeeds
    Then every payment has had one effect and one receipt

  Scenario: Repeated payments during stale reads
    Given a system with 3 entry hosts, 1 engines and 1 service
    When the next 20 reads of the table are stale
    And 20 payments are each sent to every entry host at once
    And each payment is retried until it succeeds
    Then every payment has had one effect and one receipt

  Scenario: Payments while the table is unavailable
    Given a system with 2 entry hosts, 1 engines and 1 service
    When the table is unavailable
    Then the payment "cup-1" is rejected as not executed at entry host 1
    And entry host 1 serves
    When the table is available again
    And each payment is retried until it succeeds
    Then every payment has had one effect and one receipt

  Scenario: Payments while the table exceeds its timeout
    Given a system with 2 entry hosts, 1 engines and 1 service
    When the table takes 1.5 seconds
    Then the payment "cup-2" is rejected as not executed at entry host 1
    When the table is available again
    And each payment is retried until it succeeds
    Then every payment has had one effect and one receipt

  Scenario: An entry host is killed while the service executes a payment
    Given a system with 2 entry hosts, 1 engines and 1 service
    When the service takes 2 seconds after its effect
    And the payment "cup-3" is sent and entry host 1 is killed
    And each payment is retried until it succeeds
    Then every payment has had one effect and one receipt

  Scenario: An agent is killed while the service executes a payment
    Given a system with 2 entry hosts, 1 engines and 1 service
    When the service takes 2 seconds after its effect
    And the payment "cup-4" is sent and its agent is killed and replaced
    Then the payment "cup-4" fails with "outcome_unknown"
    And no payment has had more than one effect

  Scenario: Payments exceed the write budget of the table
    Given a system with 2 entry hosts, 1 engines and 1 service
    When 400 payments are sent at once
    Then payments rejected as not executed had no effect
    And every payment that succeeded has had one effect

  Scenario: The sweep deletes only expired claims
    Given claims of which 40 are older than a day and 5 are not
    When expired claims are swept
    Then 5 claims remain

  Scenario: Claims over the write budget are rejected, outcomes are delayed
    Given a budget of 100 rows a second
    When 60 new claims and 30 outcomes are written at once
    Then all outcomes and 26 claims are written
    And fewer transactions than rows were written

  Scenario: A claim that conflicts does not fail the others of its transaction
    Given a budget of 100 rows a second
    And a claim of the key "cup-1" in the table
    When claims of the keys "cup-1", "cup-2" and "cup-2" are written at once
    Then the writes return conflict, written and conflict
