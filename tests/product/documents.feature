Feature: Documentation matches the code

  Guards against pages with computed or generated content that is out of date.

  Scenario: Computed figures follow from the measurements
    Then the capacity page contains the results of its formulas

  Scenario: Generated pages are up to date
    Then the pages of error kinds and of the administration API are up to date

  Scenario: The served API description is the committed one
    Given a system with operators' keys
    Then an entry host serves the committed description of its API

  Scenario: The command line prints help and reports wrong usage
    Then the help shows every command with flags, examples and exit statuses
    And wrong usage exits with status 2 and one line on standard error
