Feature: Responses without end

  A faulty server may send bytes until the connection is closed. This must cost
  neither unbounded memory nor the time that a retry at another server needs.

  # Guards against a response, or a part of one, that never ends.
  Scenario Outline: The client aborts well before its timeout
    Given a server that sends <what> without end
    When an entry host's client sends it a request with a timeout of 5 s
    Then the response is aborted as broken after less than <limit> bytes
    And the connection is closed

    Examples:
      | what                       | limit    |
      | bytes in the head          | 1000000  |
      | header lines               | 1000000  |
      | interim responses          | 1000000  |
      | a body                     | 20000000 |
      | chunks                     | 20000000 |
      | a chunk head               | 1000000  |
      | an event                   | 2000000  |
      | another request's response | 2000000  |
