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

  # Guards against an error of the next server, or its head, in the middle of a
  # stream, and against a stream that ends there as if it were complete.
  Scenario Outline: A stream that cannot be resumed is broken off
    Given a server that breaks off a stream after 2 events
    And the next server answers <with>
    When a stream is requested of faulty servers
    Then the caller has received 2 events and nothing else
    And the stream does not look complete
    And no request handler has failed

    Examples:
      | with                           |
      | status 500 and a text          |
      | status 404 and a text          |
      | status 200 and a text          |
      | status 200 and events to begin |
      | half of a head                 |

  # Guards against streams that are given up although another server resumes them.
  Scenario: A stream that broke off is resumed by the next server
    Given a server that breaks off a stream after 2 events
    And the next server answers with events from 3 to 5
    When a stream is requested of faulty servers
    Then the caller has received 5 events and nothing else
    And the stream looks complete

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
