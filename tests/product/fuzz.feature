Feature: Parsers accept arbitrary bytes

  Guards against parsers that raise an unexpected exception for malformed input,
  which comes from other hosts, callers, upstreams or the table.

  Scenario Outline: Arbitrary bytes are parsed or rejected
    When the parser of <parser> reads 400 random inputs with seed 11
    Then each input is parsed or rejected with the parser's own error

    Examples:
      | parser            |
      | link messages     |
      | event streams     |
      | trace headers     |
      | account rows      |
      | attempt ids       |

  Scenario: Event streams in chunks of any size are reassembled
    When 200 event streams are split into random chunks with seed 12
    Then every stream is reassembled completely
