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

  # Guards against a quarantine that is lost when its host restarts.
  Scenario: Entry hosts that restart one after the other keep away a deadly part
    Given 9 entry hosts and 2 groups of 8 servers
    And from second 4 to 26 a request each second has the deadly part "d"
    And from second 8 on each entry host restarts in turn
    When 30 requests a second come for 30 s
    Then "d" crashes at most 4 servers

  # Guards against evidence that only processes hold: a power cut ends them all.
  Scenario: Entry hosts that restart all at once know a confirmed deadly part
    Given 9 entry hosts and 2 groups of 8 servers
    And from second 2 to 60 a request each second has the deadly part "d"
    And at second 40 all entry hosts restart at once
    When 30 requests a second come for 60 s
    Then "d" crashes no server after second 40

  # Guards against suspicion of two kinds of requests that hide each other.
  Scenario: Two deadly parts at once are both kept away
    Given 9 entry hosts and 2 groups of 8 servers
    And from second 4 to 26 a request each second has the deadly part "d"
    And from second 4 to 26 a request each second has the deadly part "e"
    When 30 requests a second come for 30 s
    Then "d" crashes at most 4 servers
    And "e" crashes at most 4 servers
    And of the requests that share a part with "d" after second 10, 95 in 100 are answered at the first attempt

  # Guards against sound requests that are refused because a server crashed for
  # another reason while it began to answer one of them.
  Scenario: Crashes for other reasons keep no sound requests away
    Given 9 entry hosts and 2 groups of 8 servers
    And servers crash for another reason at second 6, 6.1, 7, 12 and 12.5
    When 30 requests a second come for 30 s
    Then of all requests after second 16, 99 in 100 are answered

  # Guards against a crash for another reason that hides or clears a deadly part.
  Scenario: A deadly part is found beside crashes for other reasons
    Given 9 entry hosts and 2 groups of 8 servers
    And from second 4 to 26 a request each second has the deadly part "d"
    And servers crash for another reason at second 4.2, 4.3, 5, 9 and 9.5
    When 30 requests a second come for 30 s
    Then "d" crashes at most 4 servers
    And of the requests that share a part with "d" after second 14, 95 in 100 are answered at the first attempt

  # Guards against crashes that do not count because the entry of their server
  # expired while the store was away.
  Scenario: A deadly part is found during an outage of the store
    Given 9 entry hosts and 2 groups of 8 servers
    And from second 4 to 26 a request each second has the deadly part "d"
    And all servers' entries expire in an outage of the store at second 3
    When 30 requests a second come for 30 s
    Then "d" crashes at most 4 servers

  # Guards against a sound first part in quarantine because no request with it was
  # answered before the first crash.
  Scenario: A first part that is new when the crashes begin is cleared by a test
    Given 9 entry hosts and 2 groups of 8 servers
    And from second 4 to 26 a request each second has the deadly part "d"
    And sound requests have the first part of "d" from second 4 on only
    When 30 requests a second come for 30 s
    Then "d" crashes at most 4 servers
    And of the requests that share a part with "d" after second 10, 95 in 100 are answered at the first attempt

  # Guards against a server that crashes before it has sent anything.
  Scenario: A part that crashes servers while they read the prompt is kept away
    Given 9 entry hosts and 2 groups of 8 servers
    And from second 4 to 26 a request each second has the deadly part "d"
    And servers crash before they send the head of a response
    When 30 requests a second come for 30 s
    Then at most 3 requests with "d" reach servers later than 3 s after its fifth crash
    And of the requests that share a part with "d" after second 14, 95 in 100 are answered at the first attempt

  # Guards against hosts that draw other conclusions from the same evidence.
  Scenario: Evidence leads to the same suspicions in whatever order it arrives
    Given evidence of 6 crashes and 40 answers at 4 hosts
    When each host learns all of it in another order, some of it twice
    Then all hosts suspect the same parts with the same weight
