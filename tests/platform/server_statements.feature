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
      | server-leaving | 1      | no time | leave |
      | server-leaving | 0      | no time | stay  |
      | server-leaving | 1, 1   | no time | stay  |
