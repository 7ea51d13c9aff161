Feature: A large configuration is decoded beside the requests

  Guards against hosts that serve nobody while they decode a large document, or
  decode all of it again for each small change.

  # Guards against streams that pause at every host at once after a large change.
  Scenario: Other tasks run while a large document is decoded
    Given a document with 1500 routes
    When it is decoded
    Then another task has run at least 50 times meanwhile

  # Guards against the cost of a large document for each small change.
  Scenario: Routes that did not change are not decoded again
    Given a document with 1500 routes
    When it is decoded, and again with another timeout of one route
    Then only that route is another object

  # Guards against an invalid document that is taken because a comparison of
  # values takes 1, 1.0 and true for equal.
  Scenario: A route that differs in a type only is checked again
    Given a document with 3 routes
    When it is decoded, and again with the priority true instead of 1
    Then the second document is rejected

  # Guards against a change that is lost because a later offer replaces it.
  Scenario: The newest of many offers is applied, whoever made it
    Given a listener that is offered versions 2 to 9 by the store at once
    When a peer offers version 7 and then the store version 10
    Then version 10 is in force, and at most 4 versions were applied

  # Guards against an old document of a store that came back from a copy.
  Scenario: An older version is not applied, and does not hide a newer one
    Given a listener that is offered versions 2 to 9 by the store at once
    When the store is restored and offers version 5, and a peer version 10
    Then version 10 is in force, and at most 4 versions were applied
