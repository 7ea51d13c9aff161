Feature: Traces

  Scenario: A sampled request has a span for each hop
    Given a system with operators' keys
    When a caller sends a caption in a trace of its own
    And "on-call" asks for that trace
    Then it has the spans entry, link, agent queue and engine, one inside the other
    When a caller sends a payment in a trace of its own
    And "on-call" asks for that trace
    Then it has the spans entry, link, agent queue and engine, one inside the other

  Scenario: Spans reach a collector, and a collector that fails holds nothing up
    Given a collector
    When 600 spans are exported
    Then the collector has 600 spans
    When the collector is gone and 3000 spans are exported
    Then 3000 spans are counted as dropped
