Feature: Request accounting

  Entry hosts write the outcomes of requests to rows of the table, which the
  report sums up. Guards against outcomes that are lost or counted twice, and
  against missing rows that count as zero instead of showing as a gap.

  Scenario: Rows that are written again after a lost response count once
    Given an entry host's account with a table that loses every second response
    When 500 requests end with random outcomes over 40 intervals with seed 5
    And the entry host shuts down gracefully
    Then the account equals the outcomes of all requests
    And the account shows no gap

  Scenario: A long outage of the table loses no outcome
    Given an entry host's account
    When the table is unavailable for 30 intervals of requests with seed 6
    And the entry host shuts down gracefully
    Then the account equals the outcomes of all requests
    And the account shows no gap

  Scenario: Merging rows changes no sum
    Given an entry host's account that merges 4 rows, with lost responses
    When 300 requests end with random outcomes over 30 intervals with seed 8
    And the entry host shuts down gracefully
    Then the account equals the outcomes of all requests
    And the account shows no gap
    And the table holds fewer than 12 rows of the account

  Scenario: A lost host shows as a gap, and its open requests have unknown outcomes
    Given an entry host's account
    When 50 requests end with random outcomes over 5 intervals with seed 9
    And 3 requests are accepted and written, and the host is lost
    Then the account shows 3 requests lost with their host
    And the account shows a gap because "the host was lost"

  Scenario: Requests that a shutdown aborts have unknown outcomes
    Given an entry host's account
    When 2 requests are accepted and the entry host shuts down at once
    Then the account shows 2 requests lost with their host
    And the account shows no gap

  Scenario: A missing row shows as a gap
    Given an entry host's account
    When 50 requests end with random outcomes over 5 intervals with seed 10
    And the entry host shuts down gracefully
    And the third row is lost
    Then the account shows a gap because "rows are missing"

  Scenario: The report of running hosts equals the outcomes at the callers
    Given a system with operators' keys
    When each entry host serves 5 captions and a payment that is sent twice
    Then every outcome in the report equals that at the callers
    When the first entry host is killed with a request in progress
    Then the report shows a gap for the first entry host
    And every accepted request has one outcome
    And the report is available as a table and as an HTML page
