Feature: Answers of faulty servers

  What a faulty server sends must never look to a caller like something else: a
  request that may have run is not called refused, an error is no part of a
  stream, and what was cut off does not look complete.

  # Guards against callers who are told "not run, try again" for a request that
  # runs, because a server wrote an earlier refusal once more.
  Scenario Outline: An earlier refusal that is repeated refuses no other request
    Given a server that refuses a request <with> its id and keeps the connection
    And it answers the next request
    And it writes the refusal once more when another comes, and <does> that one
    When three requests that must not run twice are sent one after the other
    Then the caller receives status <status>
    And the third one reached one server

    Examples:
      | with    | does    | status |
      | with    | answers | 200    |
      | with    | runs    | 502    |
      | without | answers | 502    |
      | without | runs    | 502    |

  # Guards against refusals that are not believed on a new connection, where no
  # other request can be meant: then a request that did not run would fail.
  Scenario: A refusal without an id on a new connection is believed
    Given a server that refuses a request without its id and closes the connection
    When a request that must not run twice is sent
    Then the caller receives status 200
    And the request reached two servers

  # Guards against a short or empty answer with a length that fits it.
  Scenario Outline: An answer that was cut off is not passed on as a whole one
    Given a server that sends <what> and then <ends>
    When a request that must not run twice is sent
    Then the caller receives status <status>

    Examples:
      | what                          | ends   | status |
      | a status line                 | closes | 502    |
      | half of a status line         | closes | 502    |
      | a head without its empty line | closes | 502    |
      | half of a header              | closes | 502    |
      | a head and half of its body   | closes | 502    |
      | an unframed body              | closes | 200    |
      | an unframed body              | resets | 502    |

  # Guards against a stream without framing that ends inside an event and is
  # passed on as complete.
  Scenario: An unframed stream that ends inside an event was broken off
    Given a server that sends an unframed stream of 2 events and half of one
    And the next server answers with events from 3 to 5
    When a stream is requested of faulty servers
    Then the caller has received 5 events and nothing else
    And the stream looks complete
