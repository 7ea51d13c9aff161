"""Compact encoding of the expert choices that a rank reports.

The agent of a rank reports differences since its previous report, with half a
byte for each expert. Reports are compact because all ranks send them to one
host over its link, and only their sum matters. Values that do not fit are
divided by a common unit and rounded up or down at random, so that sums remain
unbiased.
"""

from collections.abc import Sequence

from pollenthread.core import spreading

__all__ = ['ChoiceCounter', 'pack_choices', 'packed_size', 'unpack_choices']

_MAX_PACKED_VALUE = 15
_BITS_PER_VALUE = 4
_LOW_NIBBLES = bytes(value & _MAX_PACKED_VALUE for value in range(256))
_HIGH_NIBBLES = bytes(value >> _BITS_PER_VALUE for value in range(256))


class ChoiceCounter:
    """Converts the cumulative counts of a server into differences."""

    def __init__(self) -> None:
        self._counter_epoch: tuple[int, int] | None = None
        self._counts: Sequence[int] = ()

    def take(self, counter_epoch: tuple[int, int],
             counts: Sequence[int]) -> list[int] | None:
        """Records cumulative counts and returns the difference to the last.

        Args:
            counter_epoch: the start time of the server and the epoch of its
                group; counts restart from zero when either changes.
            counts: the choices since that restart, by set and expert.

        Returns:
            The differences, or None if the last counts had another
            `counter_epoch`.
        """
        before, known = self._counts, self._counter_epoch
        self._counts, self._counter_epoch = counts, counter_epoch
        if known != counter_epoch or len(before) != len(counts):
            return None
        return [max(0, new - old) for new, old in zip(counts, before)]


def packed_size(count: int) -> int:
    """Returns the size in bytes of a number of packed values."""
    return (count + 1) // 2


def pack_choices(values: Sequence[int],
                 rng: spreading.RandomSource) -> tuple[int, bytes]:
    """Packs values into half a byte each.

    Args:
        values: non-negative values.
        rng: the random source for rounding.

    Returns:
        The unit that the packed values are multiples of, and the bytes.
    """
    unit = max(1, -(-max(values, default=0) // _MAX_PACKED_VALUE))
    if unit > 1:
        values = [int(value / unit + rng.random()) for value in values]
    padded = [*values, 0] if len(values) % 2 else values
    return unit, bytes(low | high << _BITS_PER_VALUE
                       for low, high in zip(padded[::2], padded[1::2]))


def unpack_choices(unit: int, data: bytes) -> list[int]:
    """Returns the packed values, with an extra 0 if their number was odd."""
    values = bytearray(2 * len(data))
    values[::2] = data.translate(_LOW_NIBBLES)
    values[1::2] = data.translate(_HIGH_NIBBLES)
    if unit == 1:
        return list(values)
    return [value * unit for value in values]
