Feature: Memory and connections that clients share

  A process has little memory and few descriptors, and clients that nobody controls.
  Guards against crowds that use them up, and against a choice of those who release
  something that depends on who came last.

  Scenario: The limits follow from the machine
    Then a process with <memory> MB and <descriptors> descriptors allows clients <bytes> MB and <connections> connections
      | memory | descriptors | bytes | connections |
      | 168    | 1124        | 42    | 308         |
      | 200    | 4100        | 50    | 1300        |
      | 552    | 8192        | 138   | 2664        |
      | 80     | 200         | 20    | 16          |

  Scenario Outline: <who> release their memory first
    Given these clients that the process waits for
      | name   | held_kib | waited_s |
      | small  | 60       | 30       |
      | tiny   | 1        | 5        |
      | slow   | 500      | 20       |
      | large  | 4000     | 1        |
      | new    | 4000     | 0        |
      | idle   | 0        | 60       |
    Then they release their memory in the order "<order>"

    Examples: orders
      | who                         | order                        |
      | The slowest and the largest | slow, large, new, small, tiny |

  Scenario: A crowd of large bodies leaves room for an ordinary request
    Given a budget of 1000 KiB and 10 connections
    When 9 clients hold 200 KiB each, one after the other
    Then at most 750 KiB are held
    And a client may still hold 20 KiB

  Scenario: The newest client is refused if it is the largest
    Given a budget of 1000 KiB and 10 connections
    When clients hold 300, 300 and 900 KiB, one after the other
    Then the last one may not hold that much
    And 2 clients still hold something

  Scenario: A new connection takes the place of the one that has been idle longest
    Given a budget of 1000 KiB and 3 connections
    When 5 clients connect, one after the other
    Then the clients 3, 4 and 5 are connected

  Scenario: A new connection takes the place of one that sends requests ahead
    Given a budget of 1000 KiB and 3 connections
    And 3 clients whose requests are handled, of which the second has sent more ahead
    When another client connects
    Then the clients 1, 3 and 4 are connected

  Scenario: Clients that wait for the process keep their connections
    Given a budget of 1000 KiB and 3 connections
    And 3 clients whose requests are handled
    When another client connects
    Then the clients 1, 2 and 3 are connected
