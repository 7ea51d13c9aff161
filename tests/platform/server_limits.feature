Feature: Servers that limit the request rate

  A server in need names the requests per second that it accepts from all entry
  hosts together. Every four seconds allow one and a half times that rate and five
  requests more, from three seconds after the limit was named.

  # Guards against hosts that each keep within the limit, but not together, or not
  # at all: a server in need got more requests than it accepts.
  Scenario Outline: All hosts together keep within the limits of some servers
    Given <hosts> entry hosts and <servers> servers
    And at second 4 each of <limited> servers names a limit of <limit> per second
    When <rate> requests per second arrive for 20 s
    Then no server gets more requests than its limit allows
    And 98 in 100 requests receive their first event in time

    Examples: deployments
      | hosts | servers | limited | limit | rate |
      | 9     | 16      | 2       | 1     | 60   |
      | 9     | 16      | 6       | 0.3   | 38   |
      | 30    | 32      | 8       | 1     | 140  |

  # Guards against requests that wait although they cannot be served in time, and
  # against a rate that is left unused, when every server of a service is in need.
  Scenario Outline: If all servers name limits, their rate is used and the rest is rejected at once
    Given <hosts> entry hosts and <servers> servers
    And at second 4 each of <servers> servers names a limit of <limit> per second
    When <rate> requests per second arrive for 20 s
    Then no server gets more requests than its limit allows
    And from second 6 to 20 servers get at least 85 in 100 requests that their limits allow
    And 95 in 100 answered requests receive their first event in time
    And rejected requests after second 6 have waited for at most 0.3 s

    Examples: deployments
      | hosts | servers | limit | rate |
      | 9     | 3       | 4     | 20   |
      | 9     | 3       | 1     | 6    |
      | 30    | 5       | 3     | 25   |

  # Guards against servers that stay unused after their need has ended.
  Scenario: A server is used again when it names no limit any more
    Given 9 entry hosts and 16 servers
    And at second 4 each of 2 servers names a limit of 0.5 per second
    And at second 12 each of 2 servers names no limit any more
    When 60 requests per second arrive for 20 s
    Then from second 15 to 20 each server gets at least half of the mean

  # Guards against hosts that go on with the limit which they heard first.
  Scenario: A limit that falls and rises is followed
    Given 9 entry hosts and 6 servers
    And at second 2 each of 6 servers names a limit of 8 per second
    And at second 7 each of 6 servers names a limit of 2 per second
    And at second 13 each of 6 servers names a limit of 6 per second
    When 50 requests per second arrive for 20 s
    Then no server gets more requests than its limit allows
    And from second 15 to 20 servers get at least 85 in 100 requests that their limits allow

  # Guards against hosts that take over the permits of a server and do not know of
  # those that another one has issued just before.
  Scenario Outline: The limits hold while entry hosts restart
    Given 9 entry hosts and 12 servers
    And at second 2 each of 12 servers names a limit of 2 per second
    And from second 6 on <what>
    When 40 requests per second arrive for 24 s
    Then no server gets more requests than its limit allows

    Examples: restarts
      | what                                 |
      | each entry host restarts in turn     |
      | five entry hosts restart at once     |

  # Guards against a server that harms others by what it says of itself.
  Scenario: A limit that cannot be read changes nothing
    Given 9 entry hosts and 16 servers
    And the limits of 2 servers cannot be read
    When 60 requests per second arrive for 10 s
    Then from second 2 to 10 each server gets at least half of the mean
    And 98 in 100 requests receive their first event in time

  # Guards against the limit of an earlier start of a server.
  Scenario: A server that has started again has no limit until it names one
    Given a server that was started at 5 and named a limit of 1 per second
    Then a server with its id that was started at 5 has a limit
    And a server with its id that was started at 6 has none
    And what the earlier start says afterwards is not recorded for the later one

  # Guards against combinations of limits, changes and restarts under which hosts
  # do not keep together.
  Scenario: Limits hold in random histories
    When the histories of limits with seeds 0 to 7 are run
    Then in none of them a server gets more requests than its limits allow
