@alone
Feature: Crowds that are slow or stop half-way

  Clients send a part of a request and stay, leave within it, or send requests without
  reading the answers.

  Scenario Outline: A crowd at <place> would <kind>
    Given a site whose hosts have 80 MB of memory and 320 descriptors
    When a crowd of clients at "<place>" would "<kind>"
    Then an ordinary request is answered while the crowd is there
    And the process lives within its memory and descriptors

    Examples: crowds
      | place                | kind                  |
      | a route              | send requests ahead   |
      | a route              | send a part of a head |
      | a route              | send a part of a body |
      | a route              | send nothing          |
      | a route              | leave within the body |
      | no route             | send requests ahead   |
      | no route             | send a part of a head |
      | no route             | send a part of a body |
      | no route             | send nothing          |
      | no route             | leave within the body |
      | the directory        | send requests ahead   |
      | the directory        | send a part of a head |
      | the ready address    | send requests ahead   |
      | the ready address    | send a part of a head |
      | the metrics address  | send requests ahead   |
      | the metrics address  | send a part of a head |
      | the control port     | send requests ahead   |
      | the control port     | send a part of a head |
      | the port of an agent | send requests ahead   |
      | the port of an agent | send a part of a head |
      | a long answer        | read nothing          |
      | a stream             | read nothing          |
      | a stream             | send requests ahead   |
      | a long answer        | send requests ahead   |
