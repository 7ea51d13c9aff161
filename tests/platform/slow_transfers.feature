Feature: What arrives slowly but steadily is used

  Guards against large documents that hosts with slow links never get, because
  a transfer is given up after a fixed time and begun again.

  # Guards against a limit on the whole transfer of a peer's rows.
  Scenario: Rows of a peer that arrive slowly are used
    Given a peer that sends its rows in 10 parts, one each 0.15 s
    When a host fetches them
    Then it got the rows

  # Guards against a limit on the whole transfer of a page of the store.
  Scenario: A page of the store that arrives slowly is used
    Given a store that sends a page in 12 parts, one each 0.15 s
    When a host reads the table
    Then it got the page

  # Guards against a transfer that no longer makes progress.
  Scenario: Rows of a peer that stop arriving are given up
    Given a peer that sends its rows in 10 parts, one each 0.05 s, and stops after 4
    When a host fetches them
    Then it got nothing

  # Guards against a store that no longer sends what it began.
  Scenario: A page of the store that stops arriving is given up
    Given a store that sends a page in 12 parts, one each 0.05 s, and stops after 4
    When a host reads the table
    Then it got an error
