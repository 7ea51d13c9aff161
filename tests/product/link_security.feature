Feature: Mutual authentication of links

  Entry hosts and agents authenticate each other by certificates. Guards against
  links to a host with a wrong certificate and against restarts for a renewal.

  Scenario: Certificates are renewed while a system with encrypted links serves requests
    Given a system whose links require certificates
    When each entry host serves 2 captions and a payment that is sent twice
    And every host gets a new certificate
    Then hosts use the new certificates without a restart
    And a new entry host with its own certificate joins

  Scenario: A host with a wrong certificate gets no link
    Given a system whose links require certificates
    When an entry host starts with the certificate of another host
    Then it has no link to any upstream
    When an entry host starts with a certificate of another authority
    Then it has no link to any upstream
