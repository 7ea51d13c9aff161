@alone
Feature: Bodies of clients outside the limits

  Clients that nobody controls send bodies of legal size that stop short of their end,
  or far larger ones. The host has little memory; its own need is about 40 MB.

  Scenario Outline: A crowd at <place> would <kind>
    Given a site whose hosts have 80 MB of memory and 320 descriptors
    When a crowd of clients at "<place>" would "<kind>"
    Then an ordinary request is answered while the crowd is there
    And the process lives within its memory and descriptors

    Examples: crowds
      | place                | kind                         |
      | a route              | send bodies in one piece     |
      | a route              | send bodies in small pieces  |
      | a route              | send bodies in chunks        |
      | a route              | send bodies in short chunks  |
      | a route              | send bodies beyond the limit |
      | a route              | send chunks beyond the limit |
      | no route             | send bodies in one piece     |
      | no route             | send bodies in small pieces  |
      | no route             | send bodies in chunks        |
      | no route             | send bodies in short chunks  |
      | no route             | send bodies beyond the limit |
      | no route             | send chunks beyond the limit |
      | the directory        | send bodies in one piece     |
      | the directory        | send bodies in chunks        |
      | the directory        | send chunks beyond the limit |
      | the ready address    | send bodies in one piece     |
      | the ready address    | send bodies in chunks        |
      | the ready address    | send chunks beyond the limit |
      | the metrics address  | send bodies in one piece     |
      | the metrics address  | send bodies in chunks        |
      | the metrics address  | send chunks beyond the limit |
      | the control port     | send bodies in one piece     |
      | the control port     | send bodies in chunks        |
      | the control port     | send chunks beyond the limit |
      | the port of an agent | send bodies in one piece     |
      | the port of an agent | send bodies in chunks        |
      | the port of an agent | send chunks beyond the limit |
