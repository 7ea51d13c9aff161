Feature: Whose turn it is while requests wait for room

  Scenario: Requests that can be in time go first, by level
    Given waiting requests at second 10
      | id   | level | workspace | in time until | leaves at |
      | late | 0     | a         | 9             | 30        |
      | soon | 1     | a         | 9             | 10.5      |
      | text | 2     | a         | 12            | 14        |
      | list | 1     | a         | 11            | 12        |
      | capt | 0     | a         | 11            | 12        |
    Then they are sent in the order "capt list soon text late"

  Scenario: Workspaces of a level take turns, and the most pressing goes first
    Given waiting requests at second 10
      | id | level | workspace | in time until | leaves at |
      | a1 | 0     | a         | 11            | 12        |
      | a2 | 0     | a         | 12            | 13        |
      | a3 | 0     | a         | 13            | 14        |
      | b1 | 0     | b         | 14            | 15        |
    Then they are sent in the order "a1 b1 a2 a3"

  Scenario: A full queue gives up what would be sent last
    Given a queue of 2 requests
    And waiting requests at second 10
      | id   | level | workspace | in time until | leaves at |
      | text | 2     | a         | 12            | 14        |
      | list | 1     | a         | 11            | 12        |
      | capt | 0     | a         | 11            | 12        |
    Then they are sent in the order "capt list"

  # The floor: one level alone does not take all turns.
  Scenario: A less important level is not starved
    Given a text that waits, and captions that wait without end
    Then of 30 turns the text has one

  Scenario: Levels follow a new configuration while requests wait
    Given a host whose servers are full, with a request of "a" and one of "b" waiting
    When a configuration gives "b" the first priority
    Then the request of "b" is on the first level, that of "a" on the second

  # A host that is lost has sent nothing that waited.
  Scenario: Waiting requests end with their callers
    Given a host whose servers are full, with a request of "a" and one of "b" waiting
    When their callers leave and the servers have room
    Then no server has got a request, and none waits

  # All hosts see the same room.
  Scenario Outline: The shares of all hosts fit the room
    Given <hosts> hosts with equal demand that see room for 20 requests
    Then over 20 intervals they send between 17 and 23 in each, on average

    Examples:
      | hosts |
      | 3     |
      | 32    |
      | 99    |
