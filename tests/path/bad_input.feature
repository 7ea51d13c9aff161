Feature: Invalid requests

  An entry host must reject a malformed request with a specific error before
  any upstream receives it. After a framing error the position of the next
  request in the byte stream is unknown, so the host closes the connection.

  Background:
    Given a system with 1 entry hosts, 1 engines and 1 service

  Scenario: Each invalid request gets its error kind and reaches no upstream
    Then these raw requests get error responses and the connection stays open
      | kind               | status | request                                                                                                     |
      | not_found          | 404    | GET /nothing HTTP/1.1\r\nhost: a\r\n\r\n                                                                     |
      | method_not_allowed | 405    | POST /v1/addresses HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n                                          |
      | method_not_allowed | 405    | GET /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-workspace: buna\r\nx-class: caption\r\n\r\n                |
      | bad_header         | 400    | GET /services/orders/ HTTP/1.1\r\nhost: a\r\nx-class: caption\r\n\r\n                                        |
      | bad_header         | 400    | GET /services/orders/ HTTP/1.1\r\nhost: a\r\nx-workspace: buna\r\nx-workspace: b\r\nx-class: caption\r\n\r\n |
      | bad_header         | 400    | {service}x-timeout-ms: soon\r\n\r\n                                                                          |
      | bad_header         | 400    | {service}x-timeout-ms: 0\r\n\r\n                                                                             |
      | bad_header         | 400    | {service}idempotency-key: a\r\nidempotency-key: b\r\n\r\n                                                    |
      | bad_header         | 400    | {service}idempotency-key: \xe9\r\n\r\n                                                                       |
      | bad_header         | 400    | {service}content-type: \xe9\r\n\r\n                                                                          |
      | unknown_workspace  | 404    | GET /services/orders/ HTTP/1.1\r\nhost: a\r\nx-workspace: no\r\nx-class: caption\r\n\r\n                     |
      | unknown_class      | 404    | GET /services/orders/ HTTP/1.1\r\nhost: a\r\nx-workspace: buna\r\nx-class: no\r\n\r\n                        |
      | unknown_service    | 404    | GET /services/no/ HTTP/1.1\r\nhost: a\r\nx-workspace: buna\r\nx-class: caption\r\n\r\n                       |
      | key_missing        | 400    | GET /services/orders/ HTTP/1.1\r\nhost: a\r\nx-workspace: buna\r\nx-class: payment-confirmation\r\n\r\n      |
      | unknown_model      | 404    | {chat}content-length: 2\r\n\r\n{}                                                                            |
      | bad_json           | 400    | {chat}content-length: 2\r\n\r\n[]                                                                            |
      | bad_json           | 400    | {chat}content-length: 1\r\n\r\n{                                                                             |
      | bad_json           | 400    | {chat}content-length: 4\r\n\r\n"\xff\xfe"                                                                    |
      | bad_json           | 400    | {chat}content-length: 45\r\n\r\n{"model": "assistant-small", "stream": "yes"}                                |
    And no upstream received an attempt

  Scenario: Invalid framing is rejected and the connection is closed
    Then these raw requests get error responses and the connection is closed
      | kind           | status | request                                                                                     |
      | bad_framing    | 400    | nonsense\r\n\r\n                                                                            |
      | bad_framing    | 400    | GET / HTTP/1.1\r\n\r\n                                                                      |
      | bad_framing    | 400    | GET / HTTP/1.0\r\nhost: a\r\n\r\n                                                           |
      | bad_framing    | 400    | GET / HTTP/1.1\r\nhost: a\r\nx y: b\r\n\r\n                                                 |
      | bad_framing    | 400    | GET / HTTP/1.1\r\nhost: a\r\nx: b\x00c\r\n\r\n                                              |
      | bad_framing    | 400    | {chat}content-length: 2\r\ncontent-length: 3\r\n\r\n{}                                      |
      | bad_framing    | 400    | {chat}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n                      |
      | bad_framing    | 400    | {chat}content-length: -1\r\n\r\n                                                            |
      | bad_framing    | 400    | {chat}transfer-encoding: chunked\r\n\r\nzz\r\n                                              |
      | body_too_large | 413    | {chat}content-length: 99999999\r\n\r\n                                                      |
      | body_too_large | 413    | {chat}content-length: 99999999999999999999\r\n\r\n                                          |
      | body_too_large | 413    | {chat}transfer-encoding: chunked\r\n\r\n200000\r\n{many bytes}                              |
      | head_too_large | 431    | GET / HTTP/1.1\r\nhost: a\r\nx: {many bytes}                                                |
    And no upstream received an attempt

  Scenario: A request head that arrives too slowly is rejected
    Then these raw requests get error responses and the connection is closed
      | kind         | status | request                        |
      | slow_request | 408    | GET / HTTP/1.1\r\nhost: a\r\n  |

  Scenario: An absolute request target and folded headers are accepted
    When the raw request "GET http://a/v1/addresses HTTP/1.1\r\nhost: a\r\nx-caller: b\r\n c\r\n\r\n" is sent
    Then the raw response has status 200

  Scenario: An error response to HEAD has no body
    When the raw request "HEAD /nothing HTTP/1.1\r\nhost: a\r\n\r\nGET /v1/addresses HTTP/1.1\r\nhost: a\r\n\r\n" is sent
    Then the raw responses have statuses 404 and 200

  Scenario: Responses to pipelined requests keep the order of the requests
    When the raw request "GET /v1/addresses HTTP/1.1\r\nhost: a\r\n\r\nGET /nothing HTTP/1.1\r\nhost: a\r\n\r\n" is sent
    Then the raw responses have statuses 200 and 404
