Feature: Load reports in a large deployment

  Guards against load reports that grow with hosts times servers, and against
  hosts that overload servers of which they know nothing.

  Scenario Outline: A host follows the servers of its data centre, and more if they are few
    Given <centres> data centres with <servers> servers and <hosts> entry hosts each
    Then each agent reports to <audience> entry hosts
    And each entry host hears the servers of its own data centre

    Examples:
      | centres | servers | hosts | audience |
      | 3       | 4       | 3     | 9        |
      | 3       | 21      | 14    | 28       |
      | 5       | 38      | 20    | 20       |
      | 21      | 62      | 19    | 19       |

  # Guards against servers without a report that look idle and draw all requests.
  Scenario: Servers whose load is unknown get requests only if no known one can serve
    Given 8 servers with reported load 2 and 30 servers without a report
    Then 60 selections all return a reported server
    When the reported servers have no room for a request in time
    Then 60 selections all return a server without a report

  # Guards against hosts that count the requests of hosts which use other
  # servers, and so spread their own as if every server were about to fill up.
  Scenario: Requests go to the least loaded of the known servers
    Given 40 servers with reported load 2 and 160 servers without a report
    And 8 of the reported servers have load 0
    When 100 hosts of the deployment receive 3 requests per second each
    Then at least 80% of 60 selections return one of those 8 servers

  Scenario: Services without agents use all their servers
    Given 0 servers with reported load 0 and 5 servers without a report
    Then 60 selections return at least 4 different servers
