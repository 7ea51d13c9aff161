Feature: Pages cannot drift from the code

  Scenario: Every derived figure follows from the measured slopes
    Then the page of capacity is what its formulas give

  Scenario: Generated pages are current
    Then the pages of error kinds and of the administration API are current

  Scenario: The served description is the committed one
    Given a system with operators' keys
    Then an entry host serves the committed description of its API

  Scenario: The command line explains itself
    Then the help shows every command with flags, examples and exit statuses
    And a command line that is not understood ends with status 2 and a sentence
