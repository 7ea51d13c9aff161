Feature: The account adds up

  Scenario: Rows are written once however often they are sent
    Given an entry host's account with a table that loses every second answer
    When 500 requests end in random ways over 40 intervals with seed 5
    And the entry host stops by plan
    Then the account equals what ended
    And the account shows no gap

  Scenario: A long outage of the table loses no count
    Given an entry host's account
    When the table is down for 30 intervals of requests with seed 6
    And the entry host stops by plan
    Then the account equals what ended
    And the account shows no gap

  Scenario: Folding many rows into one changes no sum
    Given an entry host's account that folds 4 rows, with lost answers
    When 300 requests end in random ways over 30 intervals with seed 8
    And the entry host stops by plan
    Then the account equals what ended
    And the account shows no gap
    And the table holds fewer than 12 rows of the account

  Scenario: A lost host is a gap, and its open requests are unknown outcomes
    Given an entry host's account
    When 50 requests end in random ways over 5 intervals with seed 9
    And 3 requests are accepted and handed over, and the host is lost
    Then the account shows 3 requests lost with their host
    And the account shows a gap because "the host was lost"

  Scenario: A missing row is a gap and not zero
    Given an entry host's account
    When 50 requests end in random ways over 5 intervals with seed 10
    And the entry host stops by plan
    And the third row is lost
    Then the account shows a gap because "rows are missing"

  Scenario: The account of running hosts equals what the callers saw
    Given a system with operators' keys
    When each entry host answers 5 captions and a payment sent twice
    Then every outcome in the report is what the callers saw
    When the first entry host is killed with a request in progress
    Then the report shows a gap for the first entry host
    And every accepted request has one outcome
    And the report can be read as a table and as one page
