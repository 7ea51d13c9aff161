Feature: Entry hosts fetch newer server lists from peers

  An entry host whose store call hangs misses changes that its peers have read.
  Heartbeats carry the version of the last change, so it can tell.

  # Guards against a store call that hangs while those of other hosts return.
  Scenario: A host fetches a change of the servers that only its peers have
    Given an entry host that has just read from the store
    When heartbeats of a peer carry a newer change of the servers for 1.5 s
    Then the host fetched a snapshot from the peer

  Scenario: A host does not fetch a change that may still reach it from the store
    Given an entry host that has just read from the store
    When heartbeats of a peer carry a newer change of the servers for 0.4 s
    Then the host fetched no snapshot

  Scenario: A host fetches nothing from peers that have no newer change
    Given an entry host that has just read from the store
    When heartbeats of a peer carry no newer change of the servers for 1.5 s
    Then the host fetched no snapshot
