Feature: Links prove who is at their ends

  Scenario: A system whose links are encrypted serves, and certificates change
    Given a system whose links need certificates
    When each entry host answers 2 captions and a payment sent twice
    And every host gets a new certificate
    Then hosts take the new certificates into use without a stop
    And a new entry host joins with a certificate of its own

  Scenario: A host that cannot prove its name is not linked
    Given a system whose links need certificates
    When an entry host comes with the certificate of another host
    Then it has no link to any upstream
    When an entry host comes with a certificate of another authority
    Then it has no link to any upstream
