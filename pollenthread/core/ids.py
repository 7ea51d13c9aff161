"""Identifiers of requests and of the attempts to serve them."""

import dataclasses

__all__ = ['AttemptId', 'RequestIdGenerator']


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """One try at one request, unique in the whole system.

    Attributes:
        request: the request's id.
        number: 1 for the first attempt.
    """

    request: str
    number: int

    def __str__(self) -> str:
        return f'{self.request}.{self.number}'

    @property
    def next(self) -> 'AttemptId':
        """The attempt that follows this one."""
        return AttemptId(self.request, self.number + 1)

    @classmethod
    def parse(cls, text: str) -> 'AttemptId':
        """Reads what `str` wrote.

        Raises:
            ValueError: the text is not an attempt id.
        """
        request, _, number = text.rpartition('.')
        if not request:
            raise ValueError(f'not an attempt id: {text!r}')
        return cls(request, int(number))


class RequestIdGenerator:
    """Counts request ids for one incarnation of an entry host."""

    def __init__(self, *, host: str, incarnation: str) -> None:
        self._prefix = f'{host}-{incarnation}'
        self._count = 0

    def next_id(self) -> str:
        """Returns a request id that no other call returns."""
        self._count += 1
        return f'{self._prefix}-{self._count}'
