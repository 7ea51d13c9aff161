Feature: Overload rejects the least important requests

  If more requests arrive than the upstreams can serve, low importance is
  rejected before high, each workspace keeps its share, and a request that is
  reported as not executed has never begun at the engine.

  Background:
    Given an engine that takes 50 ms for a token, behind 2 entry hosts

  Scenario: The least important class is rejected first, without execution
    When 120 questions of low importance arrive at once
    And 8 lookups of high importance arrive while they wait
    Then every lookup receives a complete response
    And some questions are rejected as not executed
    And the engine has begun exactly the requests that were not rejected

  Scenario: A large workspace does not starve a small one
    When 120 questions of the large workspace arrive at once
    And 4 questions of the small workspace arrive while they wait
    Then every question of the small workspace receives a complete response
    And some questions are rejected as not executed
