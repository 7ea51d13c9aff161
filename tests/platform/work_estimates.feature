Feature: The expected work of a request

  The lengths of responses vary by more than their mean, and callers' hints are
  right at the median only. Counting requests instead of their work, or trusting
  a hint, misjudges when slots become free and which responses can be complete.

  Scenario: Without a hint a response is expected to be of mean length
    Then a request without a hint takes 25 passes
    And a request without a hint for at most 60 tokens takes 10 passes

  Scenario Outline: What is learned of hints corrects them
    When 2000 responses of heavy-tailed length have hints wrong by a factor of <factor>
    Then the expected passes of <class> hints are within 25% of their true mean
    And over 60% of responses with <class> hints take more than the low estimate

    Examples:
      | factor | class |
      | 1.2    | small |
      | 1.2    | large |
      | 3      | small |
      | 3      | large |

  Scenario: What is learned stays bounded and does not mix routes
    When responses of 1000 routes are twice as long as their hints
    Then a request of another route with a hint of 60 tokens takes 10 passes
    And at most 256 routes are kept

  Scenario: Large requests are refused no more often than small ones under overload
    Given 8 servers with passes of 60 ms and 9 requests at each
    Then a stream of 5 passes and one of 60 are both refused, or neither

  Scenario: A response that can not end in time leaves the slot to a shorter one
    Given 8 servers with passes of 870 ms and 2 requests at each
    Then a stream of 5 passes is sent to a server
    And a stream of 30 passes is refused

  Scenario: Requests go where memory is left for what runs
    Given 8 servers with passes of 60 ms and 2 requests at each
    And memory for 3000 more tokens at all but one of them
    Then 10 streams with 4000 tokens go to the one with memory
