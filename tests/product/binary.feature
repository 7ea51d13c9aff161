Feature: The built executable

  Guards against an executable that cannot check settings or serve requests, or
  that starts more than one process or thread.

  Scenario: The executable checks settings and serves a request in one process
    Given the built executable
    And a system with 1 entry host that runs from the sources
    When the executable checks the example targets
    Then the command prints "valid"
    When an entry host runs from the executable
    Then a caption request through it gets the complete response to that request
    And it has one thread and no child process
    And it shuts down gracefully without aborting a request
