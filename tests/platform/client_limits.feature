Feature: Clients inside the limits

  Limits that protect a process must not meet a client that stays inside the limits of
  the configuration, also on the smallest machine: bodies of 4 MiB, heads of 16 KiB that
  arrive within 3 s, and connections that are idle for up to 15 s.

  Scenario Outline: A single request inside the limits is served: <request>
    Given a site whose hosts are the smallest machines
    When a client sends <request>
    Then it gets <count> answers with status 200

    Examples: requests
      | request                         | count |
      | the largest body in one piece   | 1     |
      | the largest body in chunks      | 1     |
      | a body in short chunks          | 1     |
      | the largest head                | 1     |
      | a head of many fields           | 1     |
      | many parts of a prompt          | 1     |
      | a head in pieces within 2.5 s   | 1     |
      | a body in pieces within 5 s     | 1     |
      | a request after 12 s            | 2     |
      | 20 requests ahead               | 20    |
      | a request for a long answer     | 1     |

  # Such numbers cannot be converted, which must not end in an internal error.
  Scenario: Numbers that are unreasonably long count as missing
    Given a site whose hosts are the smallest machines
    When a client sends headers with numbers of 5000 digits
    Then it gets 1 answers with status 200

  Scenario: A body at a path without a route is not received
    Given a site whose hosts are the smallest machines
    When a client announces a body at a path without a route
    Then it gets an answer with status 404 before it sends the body
