Feature: What is known of a server ends with its run

  A server may start again under the id that it had, and then knows nothing of
  before. Its start is told by its entry in the list and by the agent beside it, in
  any order.

  # Guards against servers that are never used again after a loss of power, because
  # their agents told of the new start before their entries did: RECOVER.
  Scenario: A server that starts again under its id is used again
    Given a server whose entry tells start 1
    When its agent tells start 2
    Then it is not used
    When its entry tells start 2
    Then it is used

  # Guards against a server of before that is used during an outage of the store.
  Scenario: A run that has ended is not used when its entry expires in an outage
    Given a server whose entry tells start 1
    When its agent tells start 2
    And its entry expires during an outage of the store
    Then it is not used

  # Guards against an older row, or an older peer, that undoes what a later run says.
  Scenario: An entry of an earlier run changes nothing
    Given a server whose entry tells start 2
    When its entry tells start 1 and that it drains
    Then it is used

  # Guards against pauses and suspicions that outlive the run that caused them.
  Scenario: Failures of an earlier run do not count against a later one
    Given a host that has seen a server of start 1 fail and pause
    When the list tells start 2 of that server
    Then the host selects it

  Scenario: An entry of an earlier run does not end a warm-up
    Given a host that has seen a server of start 2 warm up
    When the list tells start 1 of that server and that it warms up for 9 s
    Then the server of start 2 still warms up

  # Guards against a limit that is forgotten while its server goes on being used.
  Scenario: The limit of a server holds while its entry is missing after an outage
    Given a host that knows a limit of a listed server
    When the store comes back from an outage without that server
    Then the server is used and its limit holds
    When the server has not been listed again in time
    Then its limit is forgotten

  # Guards against orders of entries, reports, removals and answers after which a
  # server is lost or a run of before gets requests.
  Scenario: The newest run is used, and only that one, after any order of events
    When 300 random orders of events are applied to one server
    Then no earlier run is used after a later one was told
    And an entry of the newest run makes it usable
