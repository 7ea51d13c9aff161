Feature: Parsers of our own take any bytes

  Scenario Outline: Any bytes are read or refused, never more
    When <parser> reads 400 made-up inputs with seed 11
    Then each is read or refused in its own words

    Examples:
      | parser            |
      | link messages     |
      | event streams     |
      | trace headers     |
      | account rows      |
      | attempt ids       |

  Scenario: What is cut anywhere is put together again
    When 200 event streams are cut at random places with seed 12
    Then every stream comes out whole
