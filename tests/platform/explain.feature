Feature: From a request's id to its cause

  Scenario Outline: A failed request is explained from logs alone
    Given the logs of two hosts with a <end> request among others
    When the request is explained
    Then the verdict says "<words>"

    Examples:
      | end      | words                                        |
      | refused  | It did not run: no_upstream                  |
      | lost     | It may have run: upstream_failed             |
      | late     | Answered with 200 after 1.9 s, 2 attempts    |
      | unknown  | No line names this request                   |

  Scenario: Lines that are not JSON are passed over
    Given the logs of two hosts with a late request among others
    And lines that are not JSON
    When the request is explained
    Then 3 lines are shown

  Scenario: A reader that stops reading costs lines, never time
    Given a structured log whose reader has stopped
    When 5000 lines are written
    Then lines were dropped and counted

  Scenario: Lines of failures are kept when the log is full
    Given a structured log that is read
    When 400 ordinary lines and 20 important ones are written at once
    Then all 20 important lines are there
    And the count of lines that were left out is told
