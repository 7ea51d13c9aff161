Feature: Duties fail over, and every order has one effect and one result

  A host holds a duty through a lease with a fencing number and issues its
  orders to agents. Hosts that pause, die or lose responses must not make an
  agent execute an order twice, report a false result, or obey a host that has
  lost the duty or lacks a valid key.

  Background:
    Given a system with 3 entry hosts, 1 engines and 0 service
    And every duty is held

  Scenario: An order submitted twice has one effect and one result
    When the order "load-1" is submitted to every entry host
    Then the order "load-1" ends as "ended"
    And the engine has had these effects: load-1

  Scenario: A holder resumes after its lease has expired
    When the holder of the engine's duty is paused
    Then another host holds the engine's duty
    When the order "load-2" is submitted
    Then the order "load-2" ends as "ended"
    When the paused holder resumes
    Then the paused holder reports the duty as lost
    When the order "load-3" is submitted
    Then the order "load-3" ends as "ended"
    And the engine has had these effects: load-2, load-3

  Scenario: A holder is killed while the engine executes an order
    When the engine ignores fencing numbers and takes 3 seconds for an order
    And the order "load-4" is submitted
    And the agent is executing an order
    And the holder of the engine's duty is killed
    Then another host holds the engine's duty
    And the order "load-4" ends as "ended"
    And the engine has had these effects: load-4

  Scenario: An agent is killed while the engine executes an order
    When the engine ignores fencing numbers and takes 3 seconds for an order
    And the order "load-5" is submitted
    And the agent is executing an order
    And the agent is killed and replaced
    Then the order "load-5" ends as "unknown"
    And the engine has had at most one effect of "load-5"

  Scenario: The engine's response is lost after the effect
    When the engine loses the response to the next order
    And the order "load-6" is submitted to every entry host
    Then the order "load-6" ends as "unknown"
    And the engine has had these effects: load-6

  Scenario: Orders are submitted while the table loses responses or is unavailable
    When the table loses the responses to the next 4 writes
    And the order "load-7" is submitted until it is accepted
    Then the order "load-7" ends as "ended"
    When the table is unavailable
    Then the order "load-8" is rejected
    When the table is available again
    And the order "load-8" is submitted
    Then the order "load-8" ends as "ended"
    And the engine has had these effects: load-7, load-8

  Scenario: A graceful shutdown releases every duty
    When the holder of the engine's duty receives a stop signal
    Then another host holds the engine's duty
    And the lease was released before it was acquired

  Scenario: An agent accepts only orders signed with a valid key
    When an order signed with an invalid key is sent to the agent
    Then the agent replies "not_authenticated"
    When an order signed with the second key is sent to the agent
    Then the agent replies "ended"

  Scenario Outline: Only an operator with permission for every host submits orders
    When the order "load-9" is submitted with the key "<key>"
    Then the submission of "load-9" returns status <status>
    And the engine has executed no order

    Examples:
      | key                             | status |
      | no-such-key                     | 401    |
      | key-of-the-operator-of-buna     | 403    |
      | key-of-the-accounts-department  | 403    |
