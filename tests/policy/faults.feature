Feature: Work goes on beside sick upstreams

  Scenario: A stalled engine does not hold up the others
    Given a system with 3 entry hosts and 4 engines
    And engine 1 stalls
    When 24 captions are sent at once over all entry hosts
    Then every caption is answered whole
    When 24 captions are sent at once over all entry hosts
    Then every caption is answered whole

  Scenario: A slow engine gets less work than its peers
    Given a system with 3 entry hosts and 4 engines
    And every engine takes 10 ms for a token
    And engine 1 takes 200 ms for a token
    When 40 captions are sent at once over all entry hosts, 3 times
    Then every caption is answered whole
    And engine 1 has begun less than any other

  Scenario: A third of the upstreams goes and comes back
    Given a system with 3 entry hosts and 3 engines
    When the agent of engine 1 is killed
    And 24 captions are sent at once over all entry hosts
    Then every caption is answered whole
    When the agent of engine 1 is started again
    Then engine 1 gets work again

  Scenario: Retries do not multiply an outage, nor the rush after it
    Given a system with 3 entry hosts and 3 engines
    And every engine breaks its next 1000 answers
    When 60 captions are sent at once over all entry hosts
    Then no caption is answered whole
    And the account shows at most 21 attempts more than requests
    When every engine works again
    And 60 captions are sent at once over all entry hosts
    Then every caption is answered whole or refused as not run
    And captions are answered whole again

  Scenario: A cold restart of every agent
    Given a system with 3 entry hosts and 3 engines
    When every agent is killed
    And every agent is started again
    Then captions are answered whole again

  Scenario: A stalled engine and a lost agent at once
    Given a system with 9 entry hosts and 4 engines
    And engine 1 stalls
    When the agent of engine 2 is killed
    And 27 captions are sent at once over all entry hosts
    Then every caption is answered whole
