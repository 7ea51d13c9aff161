"""Identifiers of requests and their attempts."""

import dataclasses

__all__ = ['AttemptId', 'RequestIdGenerator']


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """The id of an attempt, unique in the whole system.

    Attributes:
        request: the id of the request.
        number: number of the attempt, starting at 1.
    """

    request: str
    number: int

    def __str__(self) -> str:
        return f'{self.request}.{self.number}'

    @property
    def next(self) -> 'AttemptId':
        """The id of the next attempt of the request."""
        return AttemptId(self.request, self.number + 1)

    @classmethod
    def parse(cls, text: str) -> 'AttemptId':
        """Parses the string form of an attempt id.

        Raises:
            ValueError: the text is not an attempt id.
        """
        request, _, number = text.rpartition('.')
        if not request:
            raise ValueError(f'not an attempt id: {text!r}')
        return cls(request, int(number))


class RequestIdGenerator:
    """Generates request ids for one incarnation of an entry host."""

    def __init__(self, *, host: str, incarnation: str) -> None:
        self._prefix = f'{host}-{incarnation}'
        self._count = 0

    def next_id(self) -> str:
        """Returns a new, unique request id."""
        self._count += 1
        return f'{self._prefix}-{self._count}'
