Feature: Prompt parts that crash servers are kept away from them

  A request may crash each server that begins to answer it, because of one part
  of its prompt. Other requests share its other parts. Each crash takes a group
  of servers down for seconds.

  # Guards against requests that crash one server after the other, sent by hosts
  # that have not seen the crashes themselves.
  Scenario: Requests with a deadly part stop reaching servers after some crashes
    Given 9 entry hosts and 2 groups of 8 servers
    And from second 4 to 26 a request each second has the deadly part "d"
    When 30 requests a second come for 30 s
    Then at most 3 requests with "d" reach servers later than 3 s after its fifth crash
    And "d" crashes at most 4 servers
    And of the requests that share a part with "d" after second 10, 95 in 100 are answered at the first attempt
