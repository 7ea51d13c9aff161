Feature: Duties move, and every order has one effect and one result

  Background:
    Given a system with 3 entry hosts, 1 engines and 0 service
    And every duty is held

  Scenario: An order submitted twice has one effect and one result
    When the order "load-1" is submitted to every entry host
    Then the order "load-1" ends as "ended"
    And the engine has had these effects: load-1

  Scenario: A holder paused past the expiry of its lease goes on
    When the holder of the engine's duty is paused
    Then another host holds the engine's duty
    When the order "load-2" is submitted
    Then the order "load-2" ends as "ended"
    When the paused holder goes on
    Then the paused holder knows that it has lost the duty
    When the order "load-3" is submitted
    Then the order "load-3" ends as "ended"
    And the engine has had these effects: load-2, load-3

  Scenario: A holder dies while the engine carries an order out
    When the engine ignores fencing numbers and takes 3 seconds for an order
    And the order "load-4" is submitted
    And the agent carries an order out
    And the holder of the engine's duty is killed
    Then another host holds the engine's duty
    And the order "load-4" ends as "ended"
    And the engine has had these effects: load-4

  Scenario: An agent dies while the engine carries an order out
    When the engine ignores fencing numbers and takes 3 seconds for an order
    And the order "load-5" is submitted
    And the agent carries an order out
    And the agent is killed and replaced
    Then the order "load-5" ends as "unknown"
    And the engine has had at most one effect of "load-5"

  Scenario: The engine's answer is lost after the effect
    When the engine loses the answer to the next order
    And the order "load-6" is submitted to every entry host
    Then the order "load-6" ends as "unknown"
    And the engine has had these effects: load-6

  Scenario: The table loses answers and is down while orders are given
    When the table loses the answers to the next 4 writes
    And the order "load-7" is submitted again until it is taken
    Then the order "load-7" ends as "ended"
    When the table is down
    Then the order "load-8" is refused
    When the table is up
    And the order "load-8" is submitted
    Then the order "load-8" ends as "ended"
    And the engine has had these effects: load-7, load-8

  Scenario: A planned stop hands every duty over
    When the holder of the engine's duty is asked to stop
    Then another host holds the engine's duty
    And the lease was released before it was taken

  Scenario: An agent obeys only who has a valid key
    When an order signed with a key that is not valid is sent to the agent
    Then the agent answers "not_authenticated"
    When an order signed with the second key is sent to the agent
    Then the agent answers "ended"

  Scenario Outline: Only an operator who may change every host gives orders
    When the order "load-9" is submitted with the key "<key>"
    Then the order "load-9" is answered with status <status>
    And the engine has carried out no order

    Examples:
      | key                             | status |
      | no-such-key                     | 401    |
      | key-of-the-operator-of-buna     | 403    |
      | key-of-the-accounts-department  | 403    |
