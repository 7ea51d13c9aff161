Feature: The page of capacity cannot drift

  Scenario: Every derived figure follows from the measured slopes
    Then the page of capacity is what its formulas give
