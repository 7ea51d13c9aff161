Feature: Metrics

  Scenario: A scrape shows what the callers saw
    Given a system with operators' keys
    When each entry host answers 5 captions and a payment sent twice
    Then the scrape of "entry-1" shows 6 answers in time
    And the histograms of both entry hosts merge into 12 answers

  Scenario: Merging loses nothing
    When 500 latencies with seed 4 are spread over 9 hosts and merged
    Then the merged histograms equal those of one host that saw all
