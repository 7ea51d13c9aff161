Feature: A request from the caller to the upstream and back

  Requests pass an entry host, an agent and an upstream. A response must reach
  its own caller completely, a repeated payment must not take effect twice, and
  an invalid request must not reach an upstream.

  Background:
    Given a system with 2 entry hosts, 2 engines and 1 service

  Scenario: A streamed response is complete and belongs to its request
    When the caller streams 40 tokens of class "caption"
    Then the response is complete and belongs to the request

  Scenario: A payment that is sent twice takes effect once
    When the payment "order-1" is sent to each entry host in turn
    Then both responses contain the same receipt
    And the service has had one effect under "order-1"

  Scenario: An invalid request does not reach an upstream
    When the caller sends a payment without an idempotency key
    Then the response is the error "key_missing" with ran "no"
    When the caller streams 4 tokens of class "no-such-class"
    Then the response is the error "unknown_class" with ran "no"
    And no upstream received an attempt
