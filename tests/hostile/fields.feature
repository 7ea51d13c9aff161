@alone
Feature: Many short fields

  Requests that are legal in size, but are made of thousands of short fields.

  Scenario Outline: A crowd at <place> would <kind>
    Given a site whose hosts have 80 MB of memory and 320 descriptors
    And servers that take their time
    When a crowd of clients at "<place>" would "<kind>"
    Then an ordinary request is answered while the crowd is there
    And the process lives within its memory and descriptors

    Examples: crowds
      | place                | kind                        |
      | a route              | send short header fields    |
      | a route              | send chunk extensions       |
      | a route              | send short trailer fields   |
      | no route             | send short header fields    |
      | no route             | send chunk extensions       |
      | no route             | send short trailer fields   |
      | the directory        | send short header fields    |
      | the ready address    | send short header fields    |
      | the metrics address  | send short header fields    |
      | the control port     | send short header fields    |
      | the port of an agent | send short header fields    |
      | a route              | send many parts of a prompt |
