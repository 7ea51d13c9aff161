"""Versions of the platform's store, which may come back from an older copy.

The store counts its changes. When it comes back from a copy, the counter goes
back too and its values are given out again, but a new era begins. Counters of
different eras must not be compared.
"""

import dataclasses

__all__ = ['START', 'StoreVersion', 'told_version']

# Counters stay below this; a token of a later era is greater than all earlier.
_COUNTERS_PER_ERA = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """A point in the history of the store; a later era is always greater.

    Attributes:
        era: the number of the era; 0 if the store does not tell it.
        counter: changes of the store up to this point, in this era.
    """

    era: int
    counter: int

    @property
    def token(self) -> int:
        """The version as one number, in the same order."""
        return self.era * _COUNTERS_PER_ERA + self.counter


START = StoreVersion(0, 0)
"""Precedes every change; the version of a row that does not exist."""


def told_version(era: int, counter: int, known: StoreVersion) -> StoreVersion:
    """Returns the version that a peer tells.

    Args:
        era: the era that it tells. A process of an earlier release tells 0 and
            is taken to be in the era that is known here.
        counter: the counter that it tells.
        known: the version that is known here.
    """
    return StoreVersion(era or known.era, counter)
