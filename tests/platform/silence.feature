Feature: Streams end when their server stalls, and only then

  Guards against running work that is started again elsewhere because a load
  report is late, against slow streams that are cut although they make progress,
  and against stalled streams that never end because bytes still trickle in.

  # Guards against an agent whose reports stop for a while beside a server that
  # keeps working: its streams were started again at another server.
  Scenario: A stream goes on while only the load reports of its server are missing
    Given a server that sends an event every 0.2 s, 20 in total
    When the reports of its agent stop 0.5 s after a stream began
    Then the stream is complete after 1 attempt

  # Guards against a host that freezes with a stream on it.
  Scenario: A stream moves on when its server and the agent beside it fall silent
    Given a server that sends an event every 0.2 s, 20 in total
    And it sends nothing from event 4 on
    When the reports of its agent stop 0.5 s after a stream began
    Then the second attempt began within 2 s of the last event

  # Guards against a limit that suits fast streams only: callers of a route with
  # a long target wait longer for the next event.
  Scenario: A slow stream on a route with a long target is not cut
    Given a server that sends an event every 2.5 s, 3 in total
    And a route with a target of 1.5 s
    When a stream is requested
    Then the stream is complete after 1 attempt

  # Guards against a stalled stream that is kept alive by bytes of an event that
  # never ends.
  Scenario: A stream whose server sends a byte now and then without an event ends
    Given a server that sends an event every 0.2 s, 20 in total
    And it sends single bytes instead of event 4
    When a stream is requested
    Then the second attempt began within 2 s of the last event
