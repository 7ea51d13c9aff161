Feature: Requests at a host that stops

  Callers cache addresses, so requests still come after a host has announced that it
  stops. At the end of the grace period it exits.

  # Guards against requests that are taken late in the grace period, passed on, and
  # cut off without an answer at its end: LOST.
  Scenario Outline: Every request is answered before the host exits, or rejected at once
    Given a host that has begun to stop, with a grace period of 8 s
    And a route of kind "<kind>" with a timeout of <timeout> s, whose servers take <work> s
    When a request arrives every 0.1 s until the host exits
    Then each of them has an answer or a rejection before that
    And rejected requests have not waited and have not run
    And requests are accepted until second <accepted>

    Examples: routes
      | kind           | timeout | work | accepted |
      | idempotent     | 1.5     | 9    | 5.5      |
      | non_idempotent | 3       | 9    | 4        |
      | non_idempotent | 1.5     | 0.1  | 5.5      |
      | idempotent     | 0.6     | 9    | 6.5      |
      | non_idempotent | 20      | 0.1  | 0        |

  # Guards against answers that are cut in the send buffers of a host that exits: LOST.
  Scenario Outline: A host exits when its responses are sent, or its callers stop reading
    Given a host that has begun to stop, with a grace period of 8 s
    And a response of which a caller reads <share> of a hundred in each second
    When the host checks every 0.05 s whether it may exit
    Then it exits <exit> s after it has begun to stop

    Examples: callers
      | share | exit |
      | 50    | 3    |
      | 20    | 5    |
      | 1     | 7.5  |
      | 0     | 3    |

  # Callers need longer for their responses than the host needs to stop. Which part of a
  # response stays in the host's own send buffer depends on its size.
  Scenario: Callers that read slowly get their whole responses from a host that stops
    Given a site with one entry host and a timeout of 5.5 s
    When it gets SIGTERM and callers ask 1.5 s later for 300000, 320000, 340000, 360000, 380000, 400000, 420000, 440000 bytes, which they read in 5 s
    Then the callers have received the whole responses
