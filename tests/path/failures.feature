Feature: Failures on the request's path

  Scenario: An engine's crossed answer is never passed on
    Given a system with 1 entry hosts, 2 engines and 1 service
    And every engine has the faults {"crossed": 1}
    When the caller streams 8 tokens of class "caption"
    Then the answer is whole and its own

  Scenario: A service's crossed answer leaves the outcome unknown, never run again
    Given a system with 1 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"crossed": 1}
    When the payment "k" is sent to entry host 1
    Then the answer is the problem "upstream_misrouted" with ran "unknown"
    When the payment "k" is sent to entry host 1
    Then the answer is the problem "outcome_unknown" with ran "unknown"
    And the service has had one effect under "k"

  Scenario: An answer that comes late after a retry is ignored
    Given a system with 1 entry hosts, 2 engines and 1 service
    And every engine has the faults {"delay_s": 1.0}
    When the caller starts to stream 8 tokens
    And the agent that runs it is paused
    And the retry is answered
    And the paused agent goes on
    Then the answer is whole and its own
    When the caller streams 8 tokens of class "caption"
    Then the answer is whole and its own

  Scenario Outline: A stream without its end is never a short success: <kind>
    Given a system with 1 entry hosts, 1 engines and 1 service
    And every engine has the faults <faults>
    When the caller starts to stream 8 tokens with "x-timeout-ms" "1500"
    Then the answer breaks off with the problem "<kind>"

    Examples:
      | kind               | faults                       |
      | upstream_truncated | {"truncate_after_tokens": 3} |
      | deadline_passed    | {"stall_after_tokens": 3}    |

  Scenario: A stalled engine's stream is cancelled at the deadline
    Given a system with 1 entry hosts, 1 engines and 1 service
    And every engine has the faults {"stall_after_tokens": 3}
    When the caller starts to stream 8 tokens with "x-timeout-ms" "1500"
    Then the engines have cancelled 1 streams

  Scenario: An agent killed before it begins leaves the payment unknown
    Given a system with 2 entry hosts, 1 engines and 1 service
    When "agent-service-1" is paused
    And the caller starts the payment "k" at entry host 1
    And "agent-service-1" is killed
    Then the started answer is the problem "link_lost" with ran "unknown"
    And the service has had no effect under "k"
    When "agent-service-1" is started again
    And the payment "k" is sent to entry host 2
    Then the answer is the problem "outcome_unknown" with ran "unknown"
    And the service has had no effect under "k"

  Scenario: An agent killed after it began: the payment is unknown, the caption is retried
    Given a system with 1 entry hosts, 2 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 30}
    When the caller starts the payment "k" at entry host 1
    And the service comes to have one effect under "k"
    And "agent-service-1" is killed
    Then the started answer is the problem "link_lost" with ran "unknown"
    Given every engine has the faults {"delay_s": 1.0}
    When the caller starts to stream 8 tokens
    And the agent that runs it is killed
    And the retry is answered
    Then the answer is whole and its own

  Scenario: An agent killed after the service answered loses no outcome
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 1.0}
    When the caller starts the payment "k" at entry host 1
    And the service comes to have one effect under "k"
    And "table" has the faults {"down": true}
    Then the started answer is a receipt
    When "agent-service-1" is killed
    And "table" has the faults {}
    And "agent-service-1" is started again
    Then a repeat of the payment "k" at entry host 1 comes to the same receipt
    And the service has had one effect under "k"

  Scenario: An entry host is killed and the caller retries at another
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 1.5}
    When the caller starts the payment "k" at entry host 1
    And the service comes to have one effect under "k"
    And "entry-1" is killed
    And the payment "k" is sent to entry host 2
    Then the answer is a receipt
    And the service has had one effect under "k"

  Scenario: An outcome whose entry host was killed is recorded by another
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 1.0}
    When the caller starts the payment "k" at entry host 1
    And the service comes to have one effect under "k"
    And "entry-1" is killed
    Then "agent-service-1" comes to hold nothing
    When "agent-service-1" is killed
    And the payment "k" is sent to entry host 2
    Then the answer is a receipt
    And the service has had one effect under "k"

  Scenario: A payment whose caller left is recorded
    Given a system with 1 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 1.0}
    When the caller starts the payment "k" at entry host 1
    And the service comes to have one effect under "k"
    And the caller leaves
    Then "agent-service-1" comes to hold nothing
    When the payment "k" is sent to entry host 1
    Then the answer is a receipt
    And the service has had one effect under "k"

  Scenario: A link falls silent mid-stream and the stream goes on over a new one
    Given a system with 1 entry hosts, 1 engines and 1 service
    And the link to "agent-engine-1" goes through a relay
    And every engine has the faults {"token_s": 0.05}
    When the caller starts to stream 100 tokens
    And some tokens have come
    And the relay's connections fall silent
    Then the started answer is whole and its own
    And the relay has carried a new connection

  Scenario: A table that is slow delays a payment
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "table" has the faults {"delay_s": 0.4}
    When the payment "k" is sent to each entry host in turn
    Then both answers carry the same receipt
    And the service has had one effect under "k"

  Scenario Outline: Without the table a payment does not run and all else does: <faults>
    Given a system with 1 entry hosts, 1 engines and 1 service
    And "table" has the faults <faults>
    When the payment "k" is sent to entry host 1
    Then the answer is the problem "table_unavailable" with ran "no"
    And the service has had no effect under "k"
    And entry host 1 answers with addresses
    When the caller streams 8 tokens of class "caption"
    Then the answer is whole and its own

    Examples:
      | faults           |
      | {"down": true}   |
      | {"delay_s": 3.0} |

  Scenario: The table's answer is lost after the write took effect
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "table" has the faults {"lost_answers": 3}
    When the payment "k" is sent to each entry host in turn
    Then both answers carry the same receipt
    And the service has had one effect under "k"

  Scenario: The caller leaves mid-stream
    Given a system with 1 entry hosts, 1 engines and 1 service
    And every engine has the faults {"token_s": 0.05}
    When the caller starts to stream 2000 tokens
    And some tokens have come
    And the caller leaves
    Then the engines have cancelled 1 streams

  Scenario: The same key at two entry hosts at once
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_s": 0.3}
    When the payment "k" is sent 4 times to each entry host at once
    Then all answers carry the same receipt
    And the service has had one effect under "k"

  Scenario: The same key with another body
    Given a system with 1 entry hosts, 1 engines and 1 service
    When the payment "k" is sent to entry host 1
    And another payment is sent under "k"
    Then the answer is the problem "key_reused" with ran "no"
    And the service has had one effect under "k"

  Scenario: 1,000 idle connections do not disturb the rest
    Given a system with 1 entry hosts, 1 engines and 1 service
    When 1000 connections are opened and left idle
    And the caller streams 40 tokens of class "caption"
    Then the answer is whole and its own

  Scenario: A slow reader bounds memory at every hop
    Given a system with 1 entry hosts, 1 engines and 1 service
    When a caller asks for 200000 tokens and reads nothing
    Then the engine's tokens come to a halt
    And no process has grown by more than 8 MiB

  Scenario: The most urgent request is served first
    Given a system with 1 entry hosts, 1 engines and 1 service
    And every engine has the faults {"max_running": 1, "delay_s": 0.3}
    When requests of classes "caption", "caption", "payment-confirmation" wait
    Then the last overtakes the one before it
