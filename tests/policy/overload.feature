Feature: What gives way when capacity is short

  Background:
    Given an engine of 50 ms for a token behind 2 entry hosts

  Scenario: The least important class is refused first, and truly not run
    When 120 questions of low importance come at once
    And 8 lookups of high importance come while they wait
    Then every lookup is answered whole
    And some questions are refused as not run
    And the engine has begun exactly what was not refused

  Scenario: One large workspace does not starve a small one
    When 120 questions of the large workspace come at once
    And 4 questions of the small workspace come while they wait
    Then every question of the small workspace is answered whole
    And some questions are refused as not run
