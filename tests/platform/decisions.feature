Feature: Decisions on the prepared platform

  Scenario: A server that lapses while the store is away stays usable
    Given a fleet that lists servers "a b" of "llm"
    When the store is away
    And the entry of "a" is gone
    Then "a b" take work
    When the store is back
    And 1 s pass
    Then "a b" take work
    When 2 s pass
    Then "b" take work

  Scenario: A host that alone is cut off from the store trusts its peers' list
    Given a fleet that lists servers "a b" of "llm"
    When the store is away
    And a peer that the store answers tells the list
    And the entry of "a" is gone
    Then "b" take work

  Scenario: A server that leaves while the store answers takes no more work
    Given a fleet that lists servers "a b" of "llm"
    When the entry of "a" is gone
    Then "b" take work

  Scenario: A draining server takes no more work
    Given a fleet that lists servers "a b" of "llm"
    When "b" is draining
    Then "a" take work

  Scenario: After a power cut, an old id whose address has a new server is dead
    Given a fleet that lists servers "old b" of "llm"
    When another server answers at the address of "old"
    Then "b" take work

  Scenario: After a power cut, the agent beside a server tells of its new start
    Given a fleet that lists servers "old b" of "llm"
    When the agent beside "old" tells of a start at 900 ms
    Then "old b" take work
    When the agent beside "old" tells of a start at 1000 ms
    Then "old b" take work
    When the agent beside "old" tells of a start at 5000 ms
    Then "b" take work

  Scenario: After a power cut, old ids are listed for a while beside new ones
    Given a fleet that lists servers "old b" of "llm"
    When "new" is listed at the address of "old", started at 5000 ms
    Then "new b" take work
    When an entry "odd" of "nobody" is listed at the address of "b", started at 9000 ms
    Then "new b" take work

  Scenario: A host that freezes takes its server out of the choice
    Given servers "a b" with an agent each
    When the agent of "a" is silent for 2 s
    Then 20 choices all go to "b"

  Scenario: A closed group is refused at once instead of waited for
    Given servers "a b" with an agent each
    When both say that their group is closed
    Then there is no choice

  Scenario: Many hosts that decide alone do not all choose one server
    Given 9 hosts that know 16 idle servers
    When each host chooses once
    Then no server is chosen more than 4 times

  Scenario: Own work counts before the next report
    Given servers "a b" with an agent each
    When 3 requests are sent to "a" after its report
    Then 20 choices all go to "b"

  Scenario Outline: All hosts together keep the budget of repeats
    Given <hosts> hosts that take <requests> requests in all
    When all repeat as much as they may
    Then there are at most 0.2 repeats for each request and 94 more
    And there are at least 20 repeats

    Examples:
      | hosts | requests |
      | 1     | 100      |
      | 9     | 900      |
      | 43    | 400      |

  Scenario: A budget recovers when its window has passed
    Given 1 hosts that take 10 requests in all
    When all repeat as much as they may
    And 12 s pass in the window
    Then a repeat is allowed again

  Scenario: Only whole events reach a caller
    Given a stream in the parts "id: 1 data: x|", "id: 2 da", "ta: y|id: 3"
    Then the caller has got 2 events, the last with id "2"
    And an unfinished event is held back

  Scenario: A host that stops takes no stream that it could not end
    Given a planned stop with 8 s of grace
    Then a stream is taken after 1 s and refused after 3 s
    And a short request is taken after 5 s and refused after 7 s
    And the stop is done after 4 s if nothing runs, and not before 3 s
    And the stop is done after 7.6 s whatever runs

  Scenario: Callers are told hosts of their own data centre first
    Given entry hosts "a1 a2 b1" in data centres "a a b"
    Then a caller in "a" is told "a1 a2"
    And a caller in "b" is told "a1 a2 b1"

  Scenario: A rest of a load report goes stale
    Given servers "a b" with an agent each
    When 3 requests are sent to "a" after its report
    And the agent of "a" is silent for 2 s
    Then the load of "a" is 3

  Scenario Outline: A document that cannot be used says which field is wrong
    When a configuration is read whose <field> is <value>
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
