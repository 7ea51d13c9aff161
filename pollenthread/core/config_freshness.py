"""Versions of the configuration: which to adopt, and what their age allows.

A version is proved current at the moment before a read of the table was sent
that found none newer. A peer passes its proof on as an age; the receiver counts
it from the moment before it asked, so that delays only make a proof look older.
"""

import dataclasses
import enum

__all__ = [
    'ConfigFreshness', 'ServingPermission', 'MAX_PROOF_AGE_S',
    'RegionReachability', 'may_adopt', 'merge_proof', 'must_fetch',
    'serving_permission', 'peer_proof_time', 'should_poll'
]

MAX_PROOF_AGE_S = 10.0
POLL_INTERVAL_S = 1.0
FALLBACK_POLL_AGE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFreshness:
    """What a process can prove about its configuration.

    Attributes:
        version: the version in force; 0 before the first.
        proved_at: monotonic seconds at which it was newest, or None.
    """

    version: int = 0
    proved_at: float | None = None

    def age_s(self, now: float) -> float | None:
        """Seconds since the version was proved newest, or None."""
        return None if self.proved_at is None else now - self.proved_at


@dataclasses.dataclass(frozen=True, slots=True)
class RegionReachability:
    """Which entry hosts of its own region a host hears.

    Attributes:
        heard: hosts heard within the link's limits, itself included.
        listed: hosts on the host list, itself included.
    """

    reachable: int
    listed: int

    @property
    def is_majority(self) -> bool:
        """Whether no other part of the region is as large."""
        return self.reachable * 2 > self.listed


class ServingPermission(enum.StrEnum):
    """What a process may do with its configuration."""

    SERVE = 'serve'
    SERVE_UNPROVED = 'serve_unproved'
    REFUSE = 'refuse'


def may_adopt(current: int, offered: int) -> bool:
    """Whether a version may come into force: versions only rise."""
    return offered > current


def must_fetch(current: int, announced: int) -> bool:
    """Whether a peer's version shows a gap that has to be fetched."""
    return announced > current


def merge_proof(known: ConfigFreshness, *, version: int,
                proved_at: float) -> ConfigFreshness:
    """Takes in a proof that `version` was newest at `proved_at`.

    A proof says that nothing newer than its version was accepted then, which
    holds for any higher version as well. A proof of a lower version than the
    one in force comes from an old read and proves nothing.
    """
    if version < known.version:
        return known
    if known.proved_at is not None:
        proved_at = max(proved_at, known.proved_at)
    return ConfigFreshness(version, proved_at)


def peer_proof_time(*, asked_at: float, age_s: float) -> float:
    """When a peer's version was newest, by the own clock.

    Args:
        asked_at: monotonic seconds before the question was sent.
        age_s: the age of the proof when the peer answered.
    """
    return asked_at - age_s


def serving_permission(known: ConfigFreshness, reachable: RegionReachability,
                       now: float) -> ServingPermission:
    """What a host may do, by the age of its proof.

    Beyond the limit a host that hears most of its region goes on: none of them
    can read the table, so this is an outage of the table or of the region's way
    to it, and serving must go on. A host that hears fewer is itself cut off.
    """
    age_s = known.age_s(now)
    if age_s is None:
        return ServingPermission.REFUSE
    if age_s <= MAX_PROOF_AGE_S:
        return ServingPermission.SERVE
    if reachable.is_majority:
        return ServingPermission.SERVE_UNPROVED
    return ServingPermission.REFUSE


def should_poll(known: ConfigFreshness, *, is_poller: bool, now: float) -> bool:
    """Whether to read the table now: pollers always, others when in need."""
    if is_poller:
        return True
    age_s = known.age_s(now)
    return age_s is None or age_s > FALLBACK_POLL_AGE_S
