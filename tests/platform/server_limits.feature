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
