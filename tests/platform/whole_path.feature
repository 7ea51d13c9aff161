Feature: The whole path on the prepared platform

  Scenario: A streamed answer, whole and in order
    Given a site
    When a caller asks for a stream of 5 events
    Then the caller gets events 1 to 5 once each
    And the server got the workspace "buna" and no key
    And the server was named in the request, with the time that is left

  Scenario: Counters and latencies are served
    Given a site
    When a caller asks for a stream of 5 events
    Then the metrics page counts 1 answered request and its first event

  Scenario: Who may ask for what
    Given a site
    Then a request with an unknown key is answered 401
    And a request without a route is answered 404

  Scenario: A stream that breaks off within an event goes on elsewhere
    Given a site
    And server 1 breaks its first stream off after 2 events
    When callers ask for 8 streams of 6 events
    Then each caller gets events 1 to 6 once each
    And server 1 broke a stream off

  Scenario: Work that may run once is not sent again
    Given a site
    And both servers lose an answer
    When a caller sends a payment
    Then the answer is 502
    And the payment has reached one server, once

  Scenario: A refusal that nothing has run is true, and says when to return
    Given a site
    And both servers refuse 5 requests as not run
    When a caller sends a payment
    Then the answer is 503
    And the payment has reached no server

  Scenario: Work that may be repeated is tried elsewhere
    Given a site
    And both servers lose an answer
    When a caller looks something up
    Then the answer is 502 or 200, after two servers at most

  Scenario: The answer to another request does not reach the caller
    Given a site
    And both servers answer with the id of another request
    When a caller sends a payment
    Then the answer is 504

  Scenario: A caller that leaves takes its request from the server
    Given a site
    And events come each 200 ms
    When a caller asks for a stream of 50 events and leaves
    Then the server's work is cancelled

  Scenario: A draining server gets no new work
    Given a site
    When server 1 is listed as draining
    And entry hosts have had time to see it
    Then 8 requests all reach server 2

  Scenario: The store is away, and serving goes on
    Given a site
    When the store is down
    Then a caller that asks for a stream of 3 events gets them
    And the entry host logs that it lost the store

  Scenario: A key taken away reaches a host that cannot reach the store
    Given a site whose second entry host has a store of its own
    When the store of the second entry host is down
    And the key is taken away
    Then the second entry host answers 401 within seconds

  Scenario: The history of the store is gone
    Given a site
    When the store forgets its history
    And server 1 is listed as draining
    And entry hosts have had time to see it
    Then 8 requests all reach server 2

  Scenario: What cannot be read names no server and disturbs nothing
    Given a site
    When the list of servers gains unreadable entries
    And the configuration becomes unreadable
    Then a caller that asks for a stream of 3 events gets them

  Scenario: A planned stop cuts nothing and is known at once
    Given a site
    And events come each 200 ms
    When entry host 1 is told to stop while it streams 10 events
    Then it is not ready, and the other tells callers of itself only
    And the caller gets events 1 to 10 once each
    And the process ends by itself
