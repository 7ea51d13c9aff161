Feature: Documents pass between hosts as patches

  Guards against a document that is not the one that the operator wrote, and
  against patches that are larger than the document.

  Scenario: A patch turns any document into any other
    Given 300 pairs of random documents
    Then the patch of each pair leads from the first to the second

  # Guards against the whole of a large document for a change of one route.
  Scenario: A patch of a small change is small
    Given a document of 1500 routes and one with another route
    Then the patch between them has at most 400 bytes

  # Guards against a document put together from a damaged patch, or from a patch
  # of another document.
  Scenario: A patch that does not fit is rejected
    Given 300 pairs of random documents
    Then a patch that is cut, changed or applied to another document is rejected

  # Guards against the way from an old version when the whole document is shorter.
  Scenario: A host gives the shortest way to its version
    Given a history of 40 versions of a document
    Then it leads from each version that it knows to the newest
    And it gives the whole document to a host with an unknown version
    And it gives nothing to a host with the newest version

  # Guards against a host that had a version of a store that came back from a
  # copy: its document differs from the one that the patch is made for.
  Scenario: A host whose document differs gets the whole one
    Given a host with version 5 of the configuration
    And a peer with another version 5 that has been changed to version 6
    When the host fetches from the peer twice
    Then it has version 6 of the peer

  # Guards against hosts of an earlier release that get no configuration while a
  # new release starts host by host.
  Scenario: A host of an earlier release gets the row of the configuration
    Given a peer with version 6 of the configuration
    When a host of an earlier release asks it
    Then it gets the row with that document
