Feature: One binary

  Scenario: The built file checks settings and serves a request as one process
    Given the built file
    And a system with 1 entry host of the sources
    When the built file checks the examples
    Then the command prints "valid"
    When an entry host runs from the built file
    Then a caption through it is whole and the caller's own
    And it is one process with one thread
    And it stops by plan without cutting a request
