"""Application of configuration versions, and serving by the age of their proof.

A read of the table that finds no newer version proves the version current at
the moment before the read was sent. A peer transmits the age of its proof. The
receiver subtracts that age from the moment before it asked, so that network
delay can only make a proof older.
"""

import dataclasses
import enum

__all__ = [
    'ConfigFreshness', 'MAX_PROOF_AGE_S', 'RegionReachability',
    'ServingPermission', 'may_apply', 'merge_proof', 'must_fetch',
    'peer_proof_time', 'serving_permission', 'should_poll'
]

MAX_PROOF_AGE_S = 10.0
POLL_INTERVAL_S = 1.0
FALLBACK_POLL_AGE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFreshness:
    """The configuration version of a process and its latest proof.

    Attributes:
        version: the version in effect; 0 before the first.
        proved_at: the monotonic time at which the version was proved the
            newest, in seconds, or None.
    """

    version: int = 0
    proved_at: float | None = None

    def age_s(self, now: float) -> float | None:
        """Returns the age of the proof in seconds, or None without a proof."""
        return None if self.proved_at is None else now - self.proved_at


@dataclasses.dataclass(frozen=True, slots=True)
class RegionReachability:
    """The number of entry hosts in its region that a host can reach.

    Attributes:
        reachable: hosts with recent heartbeats, including itself.
        listed: hosts on the host list, including itself.
    """

    reachable: int
    listed: int

    @property
    def is_majority(self) -> bool:
        """Whether the reachable hosts are a majority of the region."""
        return self.reachable * 2 > self.listed


class ServingPermission(enum.StrEnum):
    """Whether a process may serve with its configuration."""

    SERVE = 'serve'
    SERVE_UNPROVED = 'serve_unproved'
    REJECT = 'refuse'


def may_apply(current: int, offered: int) -> bool:
    """Returns whether to apply an offered version; versions only increase."""
    return offered > current


def must_fetch(current: int, announced: int) -> bool:
    """Returns whether a peer announces a version that has to be fetched."""
    return announced > current


def merge_proof(known: ConfigFreshness, *, version: int,
                proved_at: float) -> ConfigFreshness:
    """Merges a proof that `version` was the newest at `proved_at`.

    A proof states that no version newer than its own had been accepted by
    then; the statement also holds for any higher version. A proof of a lower
    version than the one in effect comes from an outdated read and is ignored.

    Args:
        known: the freshness so far.
        version: the version that was proved the newest.
        proved_at: the monotonic time of the proof, in seconds.
    """
    if version < known.version:
        return known
    if known.proved_at is not None:
        proved_at = max(proved_at, known.proved_at)
    return ConfigFreshness(version, proved_at)


def peer_proof_time(*, asked_at: float, age_s: float) -> float:
    """Returns the time of a peer's proof on the local monotonic clock.

    Args:
        asked_at: the monotonic time before the request was sent, in seconds.
        age_s: the age of the proof when the peer replied, in seconds.
    """
    return asked_at - age_s


def serving_permission(known: ConfigFreshness, reachable: RegionReachability,
                       now: float) -> ServingPermission:
    """Returns whether a host may serve, by the age of its proof.

    Beyond `MAX_PROOF_AGE_S`, a host that reaches a majority of its region
    continues to serve: no host of the majority can read the table, so the table
    or the region's connection to it has failed. A host that reaches fewer hosts
    is itself isolated and rejects requests.
    """
    age_s = known.age_s(now)
    if age_s is None:
        return ServingPermission.REJECT
    if age_s <= MAX_PROOF_AGE_S:
        return ServingPermission.SERVE
    if reachable.is_majority:
        return ServingPermission.SERVE_UNPROVED
    return ServingPermission.REJECT


def should_poll(known: ConfigFreshness, *, is_poller: bool, now: float) -> bool:
    """Returns whether to read the table now.

    Pollers always do; other hosts do once their proof is older than
    `FALLBACK_POLL_AGE_S`.
    """
    if is_poller:
        return True
    age_s = known.age_s(now)
    return age_s is None or age_s > FALLBACK_POLL_AGE_S
