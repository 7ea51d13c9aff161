Feature: Metrics

  Guards against counters and latency histograms that differ from the responses
  that callers received, and against merging that loses observations.

  Scenario: A scrape shows the responses that callers received
    Given a system with operators' keys
    When each entry host serves 5 captions and a payment that is sent twice
    Then the scrape of "entry-1" shows 6 responses in time
    And the merged histograms of both entry hosts count 12 responses

  Scenario: Merging histograms loses no observation
    When 500 latencies with seed 4 are observed on 9 hosts and merged
    Then the merged histograms equal those of one host that observed all latencies
