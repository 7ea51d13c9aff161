Feature: What is known is not undone by what arrives late

  # Guards against a draining server that looks ready again, since the store's
  # response was older than what a peer had told meanwhile: DRAIN.
  Scenario Outline: Older content than a peer has told of changes nothing
    Given a follower that has read version 80 of era 1
    When a peer tells version 95 of era 1
    And the store responds with <rows> up to version 90 of era 1
    Then the listener receives no rows

    Examples: responses
      | rows       |
      | a change   |
      | all rows   |

  # Guards against changes between the calls of one read that nobody learns of.
  Scenario: A read in several calls is as old as its first call
    Given a store whose version rises by 5 with each of 3 pages
    When the table is read
    Then the rows of 3 pages are returned with the version of the first one

  # Guards against processes that end by themselves when settings are changed while
  # they start.
  Scenario Outline: A signal to reload does not end a process that starts
    Given a process "<role>" that waits for its settings
    When it gets the signal to reload and then invalid settings
    Then it exits with status 3

    Examples: roles
      | role  |
      | entry |
      | agent |
