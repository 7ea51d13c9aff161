"""Leases with fencing tokens, one table row per duty.

A duty is a role that at most one process holds at a time. The row contains no
wall clock time. An observer measures the duration from the moment it first saw
the row's version, and the holder from the moment before it sent the write,
each on its own monotonic clock. The rate of each clock may differ from true
time by the fraction `MAX_CLOCK_DRIFT`.
"""

import dataclasses
import enum

__all__ = [
    'HeldLease', 'Lease', 'LeaseObservation', 'MAX_CLOCK_DRIFT', 'WriteOutcome',
    'is_expired', 'lease_to_acquire', 'lease_to_release', 'lease_to_renew',
    'may_act', 'resolve_write', 'safe_until', 'update_observation'
]

MAX_CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The lease row of a duty.

    Attributes:
        duty: the name of the duty.
        holder: the process that holds the lease; empty after a release.
        fencing: the fencing token; increases with each acquisition.
        duration_s: the validity of each write, in seconds.
        renewals: the number of writes by the holder since the acquisition.
    """

    duty: str
    holder: str
    fencing: int
    duration_s: float
    renewals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseObservation:
    """A state of the row and when an observer first saw it.

    Attributes:
        lease: the content of the row.
        first_seen_at: the observer's monotonic time after the read, in
            seconds.
    """

    lease: Lease
    first_seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease from the point of view of its holder.

    Attributes:
        lease: the lease as last written by the holder.
        row_version: the version of the row after that write.
        safe_until: the holder's monotonic time at which it must stop acting,
            in seconds.
    """

    lease: Lease
    row_version: int
    safe_until: float


class WriteOutcome(enum.Enum):
    """The outcome of an unanswered write, as established by a later read."""

    WRITTEN = 'written'
    NOT_YET = 'not_yet'
    LOST = 'lost'


def update_observation(known: LeaseObservation | None, lease: Lease,
                       now: float) -> LeaseObservation:
    """Returns the observation after a read of the row.

    Args:
        known: the previous observation, or None.
        lease: the row as read; ignored if older than `known`.
        now: the observer's monotonic time after the read, in seconds.
    """
    if known is not None and _write_order(lease) <= _write_order(known.lease):
        return known
    return LeaseObservation(lease=lease, first_seen_at=now)


def _write_order(lease: Lease) -> tuple[int, int, bool]:
    return lease.fencing, lease.renewals, not lease.holder


def is_expired(known: LeaseObservation, now: float) -> bool:
    """Returns whether the lease has expired or was released."""
    if not known.lease.holder:
        return True
    waited_s = now - known.first_seen_at
    return waited_s >= known.lease.duration_s * (1 + MAX_CLOCK_DRIFT)


def lease_to_acquire(known: LeaseObservation | None, *, duty: str, holder: str,
                     duration_s: float, now: float) -> Lease | None:
    """Returns the lease to write to acquire a duty, or None if it is held.

    Args:
        known: the row as observed, or None if there is no row.
        duty: the name of the duty.
        holder: the process to acquire it; unique to one start of the process.
        duration_s: the validity of the write, in seconds.
        now: the monotonic time, in seconds.
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
    """Returns the lease to write to renew it, or None if it has lapsed."""
    if not may_act(held, now):
        return None
    return dataclasses.replace(held.lease, renewals=held.lease.renewals + 1)


def lease_to_release(held: HeldLease) -> Lease:
    """Returns the lease to write to release it; keeps the fencing token."""
    return dataclasses.replace(held.lease,
                               holder='',
                               renewals=held.lease.renewals + 1)


def safe_until(sent_at: float, duration_s: float) -> float:
    """Returns until when a holder may act, in its own monotonic seconds.

    Args:
        sent_at: the monotonic time before the write was sent, in seconds.
        duration_s: the duration of the lease, in seconds.
    """
    return sent_at + duration_s * (1 - MAX_CLOCK_DRIFT)


def may_act(held: HeldLease, now: float) -> bool:
    """Returns whether the holder may act at `now`, in monotonic seconds."""
    return now < held.safe_until


def resolve_write(wanted: Lease, found: Lease | None) -> WriteOutcome:
    """Establishes the outcome of an unanswered write from a later read.

    Args:
        wanted: the row as the write would have left it.
        found: the row as read, which may be out of date, or None.
    """
    if found == wanted:
        return WriteOutcome.WRITTEN
    if found is None or _write_order(found) < _write_order(wanted):
        return WriteOutcome.NOT_YET
    return WriteOutcome.LOST
