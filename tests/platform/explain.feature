Feature: Explaining a request from the logs

  An operator looks up how a request ended by its id, in the logs of all hosts.
  Guards against log lines that are lost or misread, and against a blocked log
  reader that delays requests.

  Scenario Outline: The logs explain how a request ended
    Given the logs of two hosts with a request that ended as <outcome>, among others
    When the request is explained
    Then the verdict says "<words>"

    Examples:
      | outcome  | words                                        |
      | rejected | It did not run: no_upstream                  |
      | failed   | It may have run: upstream_failed             |
      | late     | Answered with 200 after 1.9 s, 2 attempts    |
      | unknown  | No line names this request                   |

  Scenario: Lines that are not JSON are skipped
    Given the logs of two hosts with a request that ended as late, among others
    And lines that are not JSON
    When the request is explained
    Then 3 lines are shown

  Scenario: Lines are dropped without blocking when the log reader stops
    Given a structured log whose reader does not read
    When 5000 lines are logged
    Then lines were dropped and counted

  Scenario: Lines about failures are kept when the log buffer is full
    Given a structured log whose reader reads later
    When 400 ordinary and 20 important lines are logged without a pause
    Then all 20 important lines were written
    And a line with the number of dropped lines was written
