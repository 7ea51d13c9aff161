Feature: Long prompts beside short ones

  A server reads a prompt of 2,900 tokens within the passes of its other
  requests. Two of them in one pass, or one at a server that reads slowly, take
  longer than the 120 ms that streams may be silent. Hints of the length of
  responses are wrong by a factor of 3.

  Scenario: Long and short prompts share a group whose ranks run passes together
    Given a group of 24 ranks that reads 74800 tokens per second, and 4 hosts
    When 50 streams per second arrive for 40 s, one in 10 with 2900 tokens instead of 40
    Then over 95% of the short and over 90% of the long ones are in time
    And over 99% of all have no gap over 120 ms

  # Long prompts delay each other there too; without the preference, 85% of the
  # short and 90% of the long ones are in time.
  Scenario: Servers that read slowly are shared by preference
    Given 16 single servers that read 30000 tokens per second, and 2 hosts
    When 26 streams per second arrive for 40 s, one in 10 with 2900 tokens instead of 40
    Then over 92% of the short and over 70% of the long ones are in time

  Scenario: The number of servers for long prompts follows their share of the work
    Given requests of which one in 20 is long, during a minute
    Then of 20 servers 4 prefer long prompts
    And of 1 group 0 prefer long prompts
    When one in 10 is long during the next 3 minutes
    Then of 20 servers 8 prefer long prompts
    When none is long during the next 10 minutes
    Then of 20 servers 0 prefer long prompts

  Scenario: Hosts that saw different requests prefer the same servers
    Given requests of which one in 20 is long, during a minute
    And another host with one in 10
    Then both prefer 4 of 20 servers, and the other host others in addition
