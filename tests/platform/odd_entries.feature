Feature: Odd entries in the tables of the store

  Other writers leave entries that cannot be used. They must not end the processes
  that read the tables, keep them from following changes, or harm sound servers.

  # Guards against processes that end by themselves, or stop following the list of
  # servers, because of one entry.
  Scenario Outline: An odd entry among the servers is ignored
    Given a host that uses a sound server
    When the store lists a server <entry>
    Then only the sound server is used, and it gets the reports of its agent
    And requests are sent, and peers get the list

    Examples: entries
      | entry                                     |
      | that is very deeply nested                |
      | whose slots are a number of 400 digits    |
      | whose slots are 70000000                  |
      | whose slots are -1                        |
      | whose start time is 2^70                  |
      | whose start time is -10^30                |
      | whose service is a lone surrogate         |
      | whose zone is a lone surrogate            |
      | whose port is 8_0                         |
      | whose port is 65536                       |
      | whose port is in Arabic digits            |
      | whose address is a name                   |

  # Guards against the same by entries of hosts, which every process reads.
  Scenario Outline: An odd entry among the hosts is ignored
    Given 3 data centres with 3 entry hosts each
    When the hosts have run for 4 s without a change
    And a host is registered <entry>
    And server "s-1" begins to drain
    And the configuration changes to version 2
    Then within 1 s every host knows version 2 and does not use "s-1"
    And no host knows a host named "odd" and all tasks run

    Examples: entries
      | entry                               |
      | that is very deeply nested          |
      | whose port is 65536                 |
      | whose port is in Arabic digits      |
      | whose address is a name             |
      | whose data centre is a lone surrogate |
      | whose name is another one           |

  # Guards against processes that end because of a number in the configuration.
  Scenario Outline: A configuration with an odd number is rejected
    Given a valid configuration whose "<field>" is <value>
    Then it is rejected with a description

    Examples: fields
      | field             | value    |
      | timeout_ms        | 10^400   |
      | target_latency_ms | 10^400   |
      | version           | 10^30    |
      | priority          | 10^30    |

  # Guards against a process that ends because it cannot encode a message.
  Scenario: A message that cannot be encoded is not sent and counted
    Given a peer network
    When a load with 70000 running requests is sent, and then one with 7
    Then the first one is counted as malformed and the second one arrives

  # Guards against a process that ends when it reads evidence at its start.
  Scenario: Evidence that is deeply nested is ignored
    Given evidence in the store that is very deeply nested
    When a host reads the evidence
    Then it is counted as rejected

  # Guards against a list that cannot be passed on to peers because of one key.
  Scenario: A row whose key is no valid text is left out
    Given a store whose table has a row with a lone surrogate as its key
    When the table is read
    Then only the other rows are returned
