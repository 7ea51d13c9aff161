"""How a rank tells which experts its requests chose since it last told.

The agent beside a rank tells differences, not totals, and gives each expert
half a byte: what matters is the sum over all ranks, and every rank sends to
the same host over that host's link. Values that do not fit are divided by a
common unit and rounded up or down at random, so that sums stay true.
"""

from collections.abc import Sequence

from pollenthread.core import spreading

__all__ = ['ChoiceCounter', 'pack_choices', 'packed_size', 'unpack_choices']

_MAX_VALUE = 15
_BITS = 4
_LOW = bytes(value & _MAX_VALUE for value in range(256))
_HIGH = bytes(value >> _BITS for value in range(256))


class ChoiceCounter:
    """Turns a server's counts, which only rise, into differences."""

    def __init__(self) -> None:
        self._life: tuple[int, int] | None = None
        self._counts: Sequence[int] = ()

    def take(self, life: tuple[int, int],
             counts: Sequence[int]) -> list[int] | None:
        """Takes counts; returns what was added since the last ones.

        Args:
            life: what makes counts begin anew: the server's start and the
                epoch of its group.
            counts: choices since the beginning of that life.

        Returns:
            None if the counts before were of another life.
        """
        before, known = self._counts, self._life
        self._counts, self._life = counts, life
        if known != life or len(before) != len(counts):
            return None
        return [max(0, new - old) for new, old in zip(counts, before)]


def packed_size(count: int) -> int:
    """Bytes that some values take."""
    return (count + 1) // 2


def pack_choices(values: Sequence[int],
                 rng: spreading.RandomSource) -> tuple[int, bytes]:
    """Packs values into half a byte each.

    Returns:
        The unit that each packed value stands for, and the bytes.
    """
    unit = max(1, -(-max(values, default=0) // _MAX_VALUE))
    if unit > 1:
        values = [int(value / unit + rng.random()) for value in values]
    padded = [*values, 0] if len(values) % 2 else values
    return unit, bytes(
        low | high << _BITS for low, high in zip(padded[::2], padded[1::2]))


def unpack_choices(unit: int, data: bytes) -> list[int]:
    """The values that were packed, and one more if they were odd in number."""
    values = bytearray(2 * len(data))
    values[::2] = data.translate(_LOW)
    values[1::2] = data.translate(_HIGH)
    if unit == 1:
        return list(values)
    return [value * unit for value in values]
