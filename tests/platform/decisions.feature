Feature: Decisions of entry hosts on the platform

  Tests decisions that an entry host makes alone: which servers are usable,
  which server a request goes to, when a retry is allowed, what a graceful
  shutdown still accepts, and which configuration documents are rejected.

  Scenario: A server whose entry expires while the store is unavailable stays usable
    Given a registry that lists servers "a b" of "llm"
    When the store is unavailable
    And the entry of "a" is removed
    Then the usable servers are "a b"
    When the store is available again
    And 1 s elapse
    Then the usable servers are "a b"
    When 2 s elapse
    Then the usable servers are "b"

  Scenario: A host that alone cannot reach the store uses the server list of its peers
    Given a registry that lists servers "a b" of "llm"
    When the store is unavailable
    And a peer that reaches the store sends its server list
    And the entry of "a" is removed
    Then the usable servers are "b"

  Scenario: A server that is removed while the store is available gets no more requests
    Given a registry that lists servers "a b" of "llm"
    When the entry of "a" is removed
    Then the usable servers are "b"

  Scenario: A draining server gets no more requests
    Given a registry that lists servers "a b" of "llm"
    When "b" is draining
    Then the usable servers are "a"

  Scenario: After a power cut, a server id whose address now has another server is unusable
    Given a registry that lists servers "old b" of "llm"
    When another server responds at the address of "old"
    Then the usable servers are "b"

  Scenario: After a power cut, the agent beside a server reports a later start of it
    Given a registry that lists servers "old b" of "llm"
    When the agent beside "old" reports start time 900 ms
    Then the usable servers are "old b"
    When the agent beside "old" reports start time 1000 ms
    Then the usable servers are "old b"
    When the agent beside "old" reports start time 5000 ms
    Then the usable servers are "b"

  Scenario: After a power cut, a newer server at an address replaces the older one
    Given a registry that lists servers "old b" of "llm"
    When "new" is listed at the address of "old" with start time 5000 ms
    Then the usable servers are "new b"
    When an entry "odd" of "nobody" is listed at the address of "b" with start time 9000 ms
    Then the usable servers are "new b"

  Scenario: A server whose agent is unresponsive is not selected
    Given servers "a b" with an agent each
    When the agent of "a" sends no report for 2 s
    Then 20 selections all return "b"

  # All ranks of a group wait for the slow one in each pass, so a request there
  # delays the requests of all.
  Scenario Outline: A slow rank gets requests only if the others are full
    Given servers "a b" with an agent each
    When "a" takes <percent> percent of its normal time, and "b" has <running> requests
    Then 20 selections all return "<server>"

    Examples:
      | percent | running | server |
      | 400     | 5       | b      |
      | 160     | 2       | b      |
      | 160     | 6       | a      |
      | 110     | 1       | a      |

  Scenario: A request for a closed group is rejected at once instead of queued
    Given servers "a b" with an agent each
    When both report that their group is closed
    Then no server is selected

  Scenario: Hosts that select independently do not all select one server
    Given 9 hosts that know 16 idle servers
    When each host selects a server once
    Then no server is selected more than 4 times

  Scenario: Requests that a host has sent count before the next load report
    Given servers "a b" with an agent each
    When 3 requests are sent to "a" after its report
    Then 20 selections all return "b"

  Scenario Outline: All hosts together stay within the retry budget
    Given <hosts> hosts that receive <requests> requests in total
    When each host retries until its budget is used up
    Then there are at most 0.2 retries per request plus 94
    And there are at least 20 retries

    Examples:
      | hosts | requests |
      | 1     | 100      |
      | 9     | 900      |
      | 43    | 400      |

  Scenario: A retry budget recovers after its window
    Given 1 hosts that receive 10 requests in total
    When each host retries until its budget is used up
    And 12 s of the budget window elapse
    Then a retry is allowed again

  Scenario: Only complete events are passed to a caller
    Given a stream that arrives in the chunks "id: 1 data: x|", "id: 2 da", "ta: y|id: 3"
    Then the caller has received 2 events, the last with id "2"
    And an incomplete event is buffered

  Scenario: A host that shuts down accepts no stream that it could not finish
    Given a graceful shutdown with a grace period of 8 s
    Then a stream is accepted after 1 s and rejected after 3 s
    And a short request is accepted after 5 s and rejected after 7 s
    And the host may exit after 4 s if no request is running, and not before 3 s
    And the host may exit after 7.6 s even if requests are running

  Scenario: Callers get addresses of hosts in their own data centre first
    Given entry hosts "a1 a2 b1" in data centres "a a b"
    Then a caller in "a" gets the addresses "a1 a2"
    And a caller in "b" gets the addresses "a1 a2 b1"

  Scenario: An expired load report leaves only the requests that were sent since
    Given servers "a b" with an agent each
    When 3 requests are sent to "a" after its report
    And the agent of "a" sends no report for 2 s
    Then the load of "a" is 3

  Scenario Outline: A rejected configuration document names the invalid field
    When a configuration whose <field> is <value> is decoded
    Then it is rejected with "<reason>"

    Examples:
      | field      | value            | reason                       |
      | version    | "7"              | version is no whole number   |
      | version    | null             | version is missing           |
      | version    | 1.5              | version is no whole number   |
      | version    | true             | version is no whole number   |
      | routes     | {}               | routes is no list            |
      | routes     | [3]              | routes[0] is no object       |
      | routes     | [{}]             | routes[0].host is missing    |
      | services   | [{"name": []}]   | services[0].name is no text  |
      | limits     | 5                | limits is no object          |
      | tenants    | [{"name": "w", "api_keys": [1]}] | api_keys[0] is no text |
