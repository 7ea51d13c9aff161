Feature: The log names the cause of a late stream

  Guards against logs of late streams that name the wrong cause, and against a
  logged skew that includes expert choices from before the last log line.

  Scenario Outline: The first delay beyond its limit is the cause
    Given a stream that was sent to a server after <sent> ms
    When its events arrive after "<events>" ms
    Then with a target of 400 ms and a maximum gap of 120 ms the cause is <cause>

    Examples:
      | sent   | events       | cause       |
      | 5      | 90 180 260   | nothing     |
      | 250    | 450 500      | place       |
      | 5      | 450 700      | first_event |
      | 5      | 90 240       | pause       |
      | 5      |              | first_event |

  Scenario: The logged skew covers only choices since the last log line
    Given demand for expert 3 in 50 windows
    When the demand is for expert 9 in 1 window
    And the choices observed since then are taken twice
    Then the second time there are none
