Feature: Failures between the caller and the upstream

  Processes are killed or paused, links stall, the table loses responses
  or is unavailable, and upstreams return faulty responses. The caller must
  never get a response of another request or a partial one as complete, no
  payment may take effect twice, and no outcome that is known may be lost.

  Scenario: A response of another request from an engine is not passed on
    Given a system with 1 entry hosts, 2 engines and 1 service
    And every engine has the faults {"crossed": 1}
    When the caller streams 8 tokens of class "caption"
    Then the response is complete and belongs to the request

  Scenario: A response of another request from a service leaves the outcome unknown, and the payment is not repeated
    Given a system with 1 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"crossed": 1}
    When the payment "k" is sent to entry host 1
    Then the response is the error "upstream_misrouted" with ran "unknown"
    When the payment "k" is sent to entry host 1
    Then the response is the error "outcome_unknown" with ran "unknown"
    And the service has had one effect under "k"

  Scenario: A late response to an attempt that was retried is ignored
    Given a system with 1 entry hosts, 2 engines and 1 service
    And every engine has the faults {"delay_s": 1.0}
    When the caller starts to stream 8 tokens
    And the agent that runs the attempt is paused
    And the retry receives a response
    And the paused agent resumes
    Then the response is complete and belongs to the request
    When the caller streams 8 tokens of class "caption"
    Then the response is complete and belongs to the request

  Scenario Outline: A stream without its end is reported as an error: <kind>
    Given a system with 1 entry hosts, 1 engines and 1 service
    And every engine has the faults <faults>
    When the caller starts to stream 8 tokens with "x-timeout-ms" "1500"
    Then the response is aborted with the error "<kind>"

    Examples:
      | kind               | faults                       |
      | upstream_truncated | {"truncate_after_tokens": 3} |
      | deadline_passed    | {"stall_after_tokens": 3}    |

  Scenario: The stream of a stalled engine is cancelled at the deadline
    Given a system with 1 entry hosts, 1 engines and 1 service
    And every engine has the faults {"stall_after_tokens": 3}
    When the caller starts to stream 8 tokens with "x-timeout-ms" "1500"
    Then the engines have cancelled 1 streams

  Scenario: An agent is killed before it begins a payment
    Given a system with 2 entry hosts, 1 engines and 1 service
    When "agent-service-1" is paused
    And the caller starts the payment "k" at entry host 1
    And "agent-service-1" is killed
    Then the started request fails with the error "link_lost" with ran "unknown"
    And the service has had no effect under "k"
    When "agent-service-1" is started again
    And the payment "k" is sent to entry host 2
    Then the response is the error "outcome_unknown" with ran "unknown"
    And the service has had no effect under "k"

  Scenario: An agent is killed during an attempt: a payment ends as unknown, a caption is retried
    Given a system with 1 entry hosts, 2 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 30}
    When the caller starts the payment "k" at entry host 1
    And the service eventually has one effect under "k"
    And "agent-service-1" is killed
    Then the started request fails with the error "link_lost" with ran "unknown"
    Given every engine has the faults {"delay_s": 1.0}
    When the caller starts to stream 8 tokens
    And the agent that runs the attempt is killed
    And the retry receives a response
    Then the response is complete and belongs to the request

  Scenario: An agent is killed after the response of the service and the outcome is retained
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 1.0}
    When the caller starts the payment "k" at entry host 1
    And the service eventually has one effect under "k"
    And "table" has the faults {"down": true}
    Then the started request receives a receipt
    When "agent-service-1" is killed
    And "table" has the faults {}
    And "agent-service-1" is started again
    Then a repeated payment "k" at entry host 1 eventually returns the same receipt
    And the service has had one effect under "k"

  Scenario: An entry host is killed and the caller retries at another host
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 1.5}
    When the caller starts the payment "k" at entry host 1
    And the service eventually has one effect under "k"
    And "entry-1" is killed
    And the payment "k" is sent to entry host 2
    Then the answer is a receipt
    And the service has had one effect under "k"

  Scenario: An outcome is recorded by another entry host after its own was killed
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 1.0}
    When the caller starts the payment "k" at entry host 1
    And the service eventually has one effect under "k"
    And "entry-1" is killed
    Then "agent-service-1" eventually holds no attempts or outcomes
    When "agent-service-1" is killed
    And the payment "k" is sent to entry host 2
    Then the answer is a receipt
    And the service has had one effect under "k"

  Scenario: The outcome of a payment is recorded after its caller disconnected
    Given a system with 1 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_after_effect_s": 1.0}
    When the caller starts the payment "k" at entry host 1
    And the service eventually has one effect under "k"
    And the caller disconnects
    Then "agent-service-1" eventually holds no attempts or outcomes
    When the payment "k" is sent to entry host 1
    Then the answer is a receipt
    And the service has had one effect under "k"

  Scenario: A stream continues over a new link after its link stalls
    Given a system with 1 entry hosts, 1 engines and 1 service
    And the link to "agent-engine-1" goes through a relay
    And every engine has the faults {"token_s": 0.05}
    When the caller starts to stream 100 tokens
    And some tokens have arrived
    And the connections of the relay stall
    Then the response of the started request is complete and belongs to it
    And the relay has carried a new connection

  Scenario: A slow table delays a payment
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "table" has the faults {"delay_s": 0.4}
    When the payment "k" is sent to each entry host in turn
    Then both responses contain the same receipt
    And the service has had one effect under "k"

  Scenario Outline: Without the table only requests that need it are rejected: <faults>
    Given a system with 1 entry hosts, 1 engines and 1 service
    And "table" has the faults <faults>
    When the payment "k" is sent to entry host 1
    Then the response is the error "table_unavailable" with ran "no"
    And the service has had no effect under "k"
    And entry host 1 returns the entry addresses
    When the caller streams 8 tokens of class "caption"
    Then the response is complete and belongs to the request

    Examples:
      | faults           |
      | {"down": true}   |
      | {"delay_s": 3.0} |

  Scenario: The response of the table is lost after the write took effect
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "table" has the faults {"lost_answers": 3}
    When the payment "k" is sent to each entry host in turn
    Then both responses contain the same receipt
    And the service has had one effect under "k"

  Scenario: The caller disconnects during a stream
    Given a system with 1 entry hosts, 1 engines and 1 service
    And every engine has the faults {"token_s": 0.05}
    When the caller starts to stream 2000 tokens
    And some tokens have arrived
    And the caller disconnects
    Then the engines have cancelled 1 streams

  Scenario: The same idempotency key is sent to two entry hosts at once
    Given a system with 2 entry hosts, 1 engines and 1 service
    And "service-1" has the faults {"delay_s": 0.3}
    When the payment "k" is sent 4 times to each entry host at once
    Then all responses contain the same receipt
    And the service has had one effect under "k"

  Scenario: An idempotency key is reused with another body
    Given a system with 1 entry hosts, 1 engines and 1 service
    When the payment "k" is sent to entry host 1
    And another payment is sent under "k"
    Then the response is the error "key_reused" with ran "no"
    And the service has had one effect under "k"

  Scenario: 1,000 idle connections do not affect other requests
    Given a system with 1 entry hosts, 1 engines and 1 service
    When 1000 connections are opened and left idle
    And the caller streams 40 tokens of class "caption"
    Then the response is complete and belongs to the request

  Scenario: Memory use stays bounded when a caller does not read
    Given a system with 1 entry hosts, 1 engines and 1 service
    When a caller requests 200000 tokens and does not read the response
    Then the engine stops producing tokens
    And the memory of no process has grown by more than 8 MiB

  Scenario: The request with the highest importance is served first
    Given a system with 1 entry hosts, 1 engines and 1 service
    And every engine has the faults {"max_running": 1, "delay_s": 0.3}
    When requests of classes "caption", "caption", "payment-confirmation" wait
    Then the last request is served before the second
