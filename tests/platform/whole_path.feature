Feature: End-to-end requests on the platform

  Entry hosts run as processes against stand-ins of the store and the servers.
  Guards against lost or repeated events and work, against requests to servers
  that should get none, and against outages that stop serving.

  Scenario: A streamed response is complete and in order
    Given a site
    When a caller requests a stream of 5 events
    Then the caller receives events 1 to 5 once each
    And the server received the workspace "buna" and no API key
    And the request names the server and the remaining time

  Scenario: The metrics page shows counters and latencies
    Given a site
    When a caller requests a stream of 5 events
    Then the metrics page counts 1 answered request and its first event

  Scenario: Requests with an unknown key or route are rejected
    Given a site
    Then a request with an unknown key gets status 401
    And a request without a route gets status 404

  Scenario: A stream that is aborted within an event resumes at another server
    Given a site
    And server 1 aborts its first stream after 2 events
    When callers request 8 streams of 6 events
    Then each caller receives events 1 to 6 once each
    And server 1 aborted one stream

  Scenario: A request that is not idempotent is not retried
    Given a site
    And both servers lose one response
    When a caller sends a payment
    Then the response has status 502
    And the payment reached one server once

  Scenario: A request that every server rejects unexecuted fails with 503
    Given a site
    And both servers reject 5 requests as not executed
    When a caller sends a payment
    Then the response has status 503
    And the payment reached no server

  Scenario: An idempotent request is retried at another server
    Given a site
    And both servers lose one response
    When a caller sends an idempotent lookup
    Then the response has status 502 or 200, and both attempts reached a server

  Scenario: The response to another request does not reach the caller
    Given a site
    And both servers respond with the id of another request
    When a caller sends a payment
    Then the response has status 504

  Scenario: A request is cancelled at the server when its caller disconnects
    Given a site
    And servers send an event every 200 ms
    When a caller requests a stream of 50 events and disconnects
    Then the server cancels the request

  Scenario: A draining server gets no new requests
    Given a site
    When server 1 is listed as draining
    And entry hosts have had time to read the change
    Then 8 requests all reach server 2

  Scenario: Serving continues while the store is unavailable
    Given a site
    When the store is unavailable for entry hosts
    Then a caller that requests a stream of 3 events receives all of them
    And the entry host logs that it lost contact with the store

  Scenario: A revoked key is rejected by a host that cannot reach the store
    Given a site whose second entry host has a store of its own
    When the store of the second entry host is unavailable
    And the API key is revoked
    Then the second entry host responds with status 401 within seconds

  Scenario: Entry hosts recover when the store loses its change history
    Given a site
    When the store loses its change history
    And server 1 is listed as draining
    And entry hosts have had time to read the change
    Then 8 requests all reach server 2

  # Guards against a change that is never in force, since its row has a version
  # that the hosts knew before the store came back from a copy.
  Scenario: A key that is revoked after the store came back from a copy is rejected
    Given a site
    When the store is copied at a version
    And servers are listed anew and the configuration changes
    And the store comes back from that copy and all of it is written again
    And the API key is revoked at once
    Then the second entry host responds with status 401 within seconds
    And a server that was drained before the copy was made gets no requests

  Scenario: Invalid rows in the store are ignored
    Given a site
    When invalid entries are added to the list of servers
    And the configuration becomes invalid
    Then a caller that requests a stream of 3 events receives all of them

  Scenario: A graceful shutdown aborts no stream and is announced at once
    Given a site
    And servers send an event every 200 ms
    When entry host 1 gets SIGTERM while it streams 10 events
    Then it is not ready, and the other host gives callers only its own address
    And the caller receives events 1 to 10 once each
    And the process exits with status 0

  Scenario: The servers of an emptied data centre get no new requests
    Given a site
    When server 2 is listed in data centre "dc-2"
    And the operator empties "dc-1"
    And entry hosts have had time to read the change
    Then 10 requests all reach server 2
    When the operator empties "dc-2"
    And entry hosts have had time to read the change
    Then a request is rejected as not run
    When the operator takes "dc-1" back
    And the operator takes "dc-2" back
    And entry hosts have had time to read the change
    Then all of 20 requests reach server 1, which is nearer
