"""Leases with fencing numbers, one row for each duty.

The row carries no time of day. An observer counts the duration from the moment
at which it first saw the row's version, the holder from the moment before it
sent the write, each on its own monotonic clock. The rates of two clocks may
differ by `MAX_DRIFT` from true time.
"""

import dataclasses
import enum

__all__ = [
    'HeldLease', 'Lease', 'MAX_CLOCK_DRIFT', 'LeaseObservation', 'WriteOutcome',
    'lease_to_acquire', 'is_expired', 'may_act', 'update_observation',
    'lease_to_release', 'lease_to_renew', 'safe_until', 'resolve_write'
]

MAX_CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The row of a duty.

    Attributes:
        duty: the duty's name.
        holder: the process that holds it; empty after a release.
        fencing: rises with each acquisition and never falls.
        duration_s: seconds that a write keeps the duty.
        renewals: writes by the holder since it acquired the duty.
    """

    duty: str
    holder: str
    fencing: int
    duration_s: float
    renewals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseObservation:
    """When an observer first saw a state of the row.

    Attributes:
        lease: what the row held.
        first_seen_at: the observer's monotonic seconds after the read.
    """

    lease: Lease
    first_seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease as its holder knows it.

    Attributes:
        lease: what the holder wrote last.
        version: the row's version after that write.
        until: the holder's monotonic seconds at which it must stop.
    """

    lease: Lease
    row_version: int
    safe_until: float


class WriteOutcome(enum.Enum):
    """What a read proves about a write whose answer was lost."""

    WRITTEN = 'written'
    NOT_YET = 'not_yet'
    LOST = 'lost'


def update_observation(known: LeaseObservation | None, lease: Lease,
                       now: float) -> LeaseObservation:
    """Updates what an observer knows by a read.

    Args:
        known: what it knew, or None.
        lease: the row that was read.
        now: the observer's monotonic seconds after the read.
    """
    if known is not None and _order(lease) <= _order(known.lease):
        return known
    return LeaseObservation(lease=lease, first_seen_at=now)


def _order(lease: Lease) -> tuple[int, int, bool]:
    return lease.fencing, lease.renewals, not lease.holder


def is_expired(known: LeaseObservation, now: float) -> bool:
    """Whether the holder must have stopped by itself, or has let go."""
    if not known.lease.holder:
        return True
    waited_s = now - known.first_seen_at
    return waited_s >= known.lease.duration_s * (1 + MAX_CLOCK_DRIFT)


def lease_to_acquire(known: LeaseObservation | None, *, duty: str, holder: str,
                     duration_s: float, now: float) -> Lease | None:
    """Decides what to write to take a duty; None when it must be left.

    Args:
        known: the row as observed, or None when there is no row.
        duty: the duty's name.
        holder: the process that wants it, unique to one start of it.
        duration_s: seconds that the write would keep the duty.
        now: monotonic seconds.
    """
    if known is None:
        return Lease(duty=duty, holder=holder, fencing=1, duration_s=duration_s)
    if known.lease.holder != holder and not is_expired(known, now):
        return None
    return Lease(duty=duty,
                 holder=holder,
                 fencing=known.lease.fencing + 1,
                 duration_s=duration_s)


def lease_to_renew(held: HeldLease, *, now: float) -> Lease | None:
    """Decides what to write to keep a duty; None when it has lapsed."""
    if not may_act(held, now):
        return None
    return dataclasses.replace(held.lease, renewals=held.lease.renewals + 1)


def lease_to_release(held: HeldLease) -> Lease:
    """What to write to let a duty go; its fencing number stays."""
    return dataclasses.replace(held.lease,
                               holder='',
                               renewals=held.lease.renewals + 1)


def safe_until(sent_at: float, duration_s: float) -> float:
    """Until when a holder may act, by its own clock.

    Args:
        sent_at: monotonic seconds before the write was sent.
        duration_s: the lease's duration.
    """
    return sent_at + duration_s * (1 - MAX_CLOCK_DRIFT)


def may_act(held: HeldLease, now: float) -> bool:
    """Whether the holder may act at `now`."""
    return now < held.safe_until


def resolve_write(wanted: Lease, found: Lease | None) -> WriteOutcome:
    """Decides from a read after a write whose answer was lost.

    Args:
        wanted: what the write would have left in the row.
        found: the row that was read, which may be old.
    """
    if found == wanted:
        return WriteOutcome.WRITTEN
    if found is None or _order(found) < _order(wanted):
        return WriteOutcome.NOT_YET
    return WriteOutcome.LOST
