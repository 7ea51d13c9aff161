Feature: Tracing

  Guards against spans that are missing or have the wrong parent, and against a
  collector outage that blocks the export.

  Scenario: A sampled request has a span for each hop
    Given a system with operators' keys
    When a caller sends a caption request with its own trace id
    And "on-call" fetches that trace
    Then it has the nested spans entry, link, agent queue and engine
    When a caller sends a payment request with its own trace id
    And "on-call" fetches that trace
    Then it has the nested spans entry, link, agent queue and engine

  Scenario: Spans are exported, and are dropped while the collector is unreachable
    Given a collector
    When 600 spans are exported
    Then the collector has 600 spans
    When the collector is unreachable and 3000 spans are exported
    Then 3000 spans are counted as dropped
