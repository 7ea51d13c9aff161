Feature: A request's whole path

  Background:
    Given a system with 2 entry hosts, 2 engines and 1 service

  Scenario: A streamed answer is whole and the caller's own
    When the caller streams 40 tokens of class "caption"
    Then the answer is whole and its own

  Scenario: A payment sent twice takes effect once
    When the payment "order-1" is sent to each entry host in turn
    Then both answers carry the same receipt
    And the service has had one effect under "order-1"

  Scenario: Bad input touches no upstream
    When the caller sends a payment without an idempotency key
    Then the answer is the problem "key_missing" with ran "no"
    When the caller streams 4 tokens of class "no-such-class"
    Then the answer is the problem "unknown_class" with ran "no"
    And no upstream was touched
