Feature: Servers that warm up get few requests

  A server that has just started is slow, and crashes under more requests than it
  bears in a second. It may become slow again at any moment, without a word.

  # Guards against hosts that each keep within the limit, but not together, also
  # while they restart or cannot hear each other.
  Scenario Outline: No server gets more than its limit in any second
    Given <hosts> hosts that know each other and <servers> servers with a limit of <limit> per second
    When each host sends to the servers as often as it may for 6 s<trouble>
    Then no server gets more than <limit> requests within a second
    And together they get at least <least> in 100 of what their limits allow

    Examples: deployments
      | hosts | servers | limit | trouble                       | least |
      | 32    | 6       | 44    |                               | 60    |
      | 32    | 6       | 44    | , with delays of 50 ms        | 60    |
      | 3     | 6       | 44    |                               | 85    |
      | 99    | 12      | 44    |                               | 85    |
      | 1     | 2       | 5     |                               | 85    |

  # Guards against hosts that forget what they sent, and against issuers of permits
  # on which the limit would depend.
  Scenario Outline: The limit holds while entry hosts restart, for repeats too
    Given 9 entry hosts and 3 servers
    And a warm-up in which a server may get 10 requests per second
    And from second 3 on <what>
    When 90 requests per second arrive for 12 s
    Then no server gets more than 10 requests within a second

    Examples: restarts
      | what                             |
      | each entry host restarts in turn |
      | five entry hosts restart at once |

  # Guards against a host that can serve nobody, since all servers of a service are
  # left to others.
  Scenario: With few servers and many hosts every host can send to one
    Given 99 hosts that know each other and 1 servers with a limit of 44 per second
    When each host sends to the servers as often as it may for 3 s
    Then every host could send to some server

  Scenario: Random reservations keep within the share
    When 300 random sequences of reservations are made at one host
    Then no window of a second has more than the share

  # Guards against a service without a warm-up that is served in another way.
  Scenario: Servers without a warm-up are not limited
    Given a host with 2 servers without a warm-up
    Then 500 permits at once are granted for each

  Scenario: A host that does not know the others yet sends one request a second
    Given a host that has just started, with 1 server that has a warm-up
    Then 1 permit at once is granted

  # Guards against slow servers that are used while others have room.
  Scenario Outline: Warm servers with room are preferred
    Given a host with 4 servers that have a warm-up
    And "s-1" <cause>
    And the other servers have <load> requests each
    Then "s-1" is <use>

    Examples: causes
      | cause                                 | load | use      |
      | is listed as warming up               | 1    | left out |
      | is listed as warming up               | 6    | used     |
      | started again                         | 1    | left out |
      | is in a data centre that is restored  | 1    | left out |
      | was slow and is warm again            | 1    | used     |
      | is listed as warming up               | no   | used     |
      | was slow before it started again warm | 1    | left out |

  Scenario Outline: An entry says how long a server warms up
    When an entry of a server has a remaining time of <value>
    Then its server warms up for <seconds> s

    Examples: values
      | value | seconds |
      | 2500  | 2.5     |
      | 0     | 0       |
      | -5    | 0       |
      | 1e99  | 600     |
