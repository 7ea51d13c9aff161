Feature: Requests complete while some upstreams fail

  An upstream that stalls, slows down or fails must not delay the requests that
  other upstreams can serve, and the retries of failed requests must not
  multiply the load. The scenarios inject such faults into running processes.

  Scenario: A stalled engine does not delay requests at the others
    Given a system with 3 entry hosts and 4 engines
    And engine 1 stalls
    When 24 captions are sent at once over all entry hosts
    Then every caption receives a complete response
    When 24 captions are sent at once over all entry hosts
    Then every caption receives a complete response

  Scenario: A slow engine receives fewer requests than the others
    Given a system with 3 entry hosts and 4 engines
    And every engine takes 10 ms for a token
    And engine 1 takes 200 ms for a token
    When 40 captions are sent at once over all entry hosts, 3 times
    Then every caption receives a complete response
    And engine 1 has begun fewer requests than any other

  Scenario: A third of the upstreams fails and recovers
    Given a system with 3 entry hosts and 3 engines
    When the agent of engine 1 is killed
    And 24 captions are sent at once over all entry hosts
    Then every caption receives a complete response
    When the agent of engine 1 is started again
    Then engine 1 receives requests again

  Scenario: Retries do not multiply the load during an outage or after it
    Given a system with 3 entry hosts and 3 engines
    And every engine aborts its next 1000 responses
    When 60 captions are sent at once over all entry hosts
    Then no caption receives a complete response
    And the accounting rows show at most 21 attempts more than requests
    When no engine has a fault
    And 60 captions are sent at once over all entry hosts
    Then every caption receives a complete response or is rejected as not executed
    And captions receive complete responses again

  Scenario: Every agent restarts without state
    Given a system with 3 entry hosts and 3 engines
    When every agent is killed
    And every agent is started again
    Then captions receive complete responses again

  Scenario: A stalled engine and a lost agent at once
    Given a system with 9 entry hosts and 4 engines
    And engine 1 stalls
    When the agent of engine 2 is killed
    And 27 captions are sent at once over all entry hosts
    Then every caption receives a complete response
