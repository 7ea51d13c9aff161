Feature: What a server says of itself is obeyed

  A server that leaves says so in its responses, and one that rejects a request may
  name a time for which it wants no other. The server list tells that later, or not
  at all.

  # Guards against requests to a server that has said that it leaves, while the
  # list still has it.
  Scenario: A server that says that it leaves gets no new request
    Given a host and 3 servers
    When 20 requests a second come for 6 s, and "s-1" leaves after 2 s
    Then from 0.2 s after that "s-1" gets no request
    And all requests are answered

  # Guards against a server that is never used again although it is a new one.
  Scenario: A server that has started again is used again
    Given a host and 3 servers
    When 20 requests a second come for 6 s, and "s-1" leaves after 2 s
    And it is listed with a later start, and 20 requests a second come for 2 s
    Then "s-1" gets requests

  # Guards against requests to a server that wants none for some time, and against
  # one that is left alone for much longer: hosts return within a fifth of the time,
  # and of 12 requests in 0.6 s one is for one of three servers.
  Scenario Outline: A server that wants nothing for a while gets nothing for it
    Given a host and 3 servers
    When 20 requests a second come for 8 s, and "s-1" wants nothing for <pause> s after 2 s
    Then in each <pause> s after it has said so "s-1" gets at most 2 requests
    And "s-1" gets a request within <return> s after that
    And all requests are answered

    Examples:
      | pause | return |
      | 0.5   | 0.7    |
      | 1.5   | 0.9    |
      | 3     | 1.2    |

  # Guards against callers that wait, or are told a wrong time, if no server wants
  # a request.
  Scenario: If all servers want nothing, callers hear at once when they may return
    Given a host and 3 servers
    When all servers want nothing for 5 s
    Then a request is rejected at once, as not run, with a delay of 3.5 to 6 s

  Scenario: If all servers leave, requests are rejected at once
    Given a host and 3 servers
    When all servers leave
    Then a request is rejected at once, as not run

  # Guards against what another server at the same address says.
  Scenario: A response of another server at the address says nothing of this one
    Given a host and 3 servers
    When 20 requests a second come for 2 s, and another server is at the address of "s-1"
    Then "s-1" has not said that it leaves

  # Guards against headers that a faulty server sends.
  Scenario Outline: A header of a rejected request is read with care
    When a server rejects a request with the header "<header>" as "<value>"
    Then it is taken to want nothing for <pause>, and to <stay>

    Examples:
      | header         | value  | pause | stay  |
      | retry-after    | 2      | 2 s   | stay  |
      | retry-after    | 0.25   | 0.25 s | stay |
      | retry-after    | 0      | no time | stay |
      | retry-after    | -3     | no time | stay |
      | retry-after    | soon   | no time | stay |
      | retry-after    | nan    | no time | stay |
      | retry-after    | inf    | no time | stay |
      | server-leaving | 1      | no time | leave |
      | server-leaving | 0      | no time | stay  |
      | server-leaving | 1, 1   | no time | stay  |
