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
