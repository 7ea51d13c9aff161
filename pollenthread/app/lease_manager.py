"""Acquires, renews and releases leases of duties in the table."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import pydantic
import result
from absl import logging

from pollenthread.app import directory as directory_module
from pollenthread.core import leases, membership
from pollenthread.ports import clock, table

__all__ = ['LeaseManager', 'LeaseTiming', 'lease_key', 'parse_lease']

_CANDIDATES_PER_DUTY = 2
_LEASE_ADAPTER = pydantic.TypeAdapter(leases.Lease)


class LeaseTiming:
    """Times of leases, in seconds.

    Attributes:
        DURATION_S: duration of a lease after each write.
        RENEW_S: minimum interval between renewals.
        CHECK_S: interval between iterations of the manager.
        WATCH_S: minimum interval between attempts to acquire a duty.
        HAND_OVER_S: time after which a holder that is no longer a candidate
            releases the duty.
    """

    DURATION_S = 5.0
    RENEW_S = 1.5
    CHECK_S = 0.5
    WATCH_S = 1.0
    HAND_OVER_S = 10.0


def lease_key(duty: str) -> str:
    """Returns the table key of a duty's lease."""
    return f'leases/{duty}'


def parse_lease(value: bytes) -> leases.Lease:
    """Decodes a duty's lease."""
    return _LEASE_ADAPTER.validate_json(value)


class LeaseManager:
    """Competes for duties on behalf of one entry host.

    Attributes:
        acquired_count: leases that were acquired.
        lost_count: leases that were lost, excluding released ones.
        on_acquire: called with the duty after a lease was acquired, or None.
    """

    def __init__(self, *, table_service: table.TableService,
                 directory: directory_module.HostDirectory, time: clock.Clock,
                 host: str, incarnation: str, duties: Sequence[str]) -> None:
        """Initializes a manager that holds no lease.

        Args:
            table_service: the table with the leases.
            directory: the entry hosts that are alive.
            time: the clock.
            host: this host.
            incarnation: identifies this start of the process.
            duties: the duties to compete for.
        """
        self._table = table_service
        self._directory = directory
        self._clock = time
        self._host = host
        self._holder = f'{host}:{incarnation}'
        self._duties = tuple(duties)
        self._held_by_duty: dict[str, leases.HeldLease] = {}
        self._observation_by_duty: dict[str, leases.LeaseObservation] = {}
        self._version_by_duty: dict[str, int] = {}
        self._renewed_at_by_duty: dict[str, float] = {}
        self._tried_at_by_duty: dict[str, float] = {}
        self._last_candidate_at_by_duty: dict[str, float] = {}
        self._locks_by_duty = {duty: asyncio.Lock() for duty in self._duties}
        self._wake = asyncio.Event()
        self._stopping = False
        self.acquired_count = 0
        self.lost_count = 0
        self.on_acquire: Callable[[str], None] | None = None

    def held_lease(self, duty: str) -> leases.HeldLease | None:
        """Returns the lease of a duty if this host may act on it now."""
        held = self._held_by_duty.get(duty)
        if held is None or not leases.may_act(held, self._clock.monotonic()):
            return None
        return held

    def held_duties(self) -> list[str]:
        """Returns the duties that this host may act on now."""
        return [duty for duty in self._held_by_duty if self.held_lease(duty)]

    def wake(self) -> None:
        """Triggers the next iteration now, for example if a holder failed."""
        self._wake.set()

    async def run(self) -> None:
        """Renews and acquires leases until cancelled."""
        while True:
            await self.run_once()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LeaseTiming.CHECK_S):
                    await self._wake.wait()
            self._wake.clear()

    async def run_once(self) -> None:
        """Renews held leases and tries to acquire those this host may have."""
        live_hosts = self._directory.live_entries()
        await asyncio.gather(
            *(self._update(duty, live_hosts) for duty in self._duties))

    async def _update(self, duty: str, live_hosts: Sequence[str]) -> None:
        async with self._locks_by_duty[duty]:
            held = self._held_by_duty.get(duty)
            now = self._clock.monotonic()
            is_candidate = self._is_candidate(duty, live_hosts)
            if held is not None and not is_candidate and self._may_hand_over(
                    duty, now):
                await self._release_held(duty, held)
            elif held is not None:
                if is_candidate:
                    self._last_candidate_at_by_duty[duty] = now
                await self._renew(duty, held)
            elif is_candidate and self._may_try(duty, now):
                self._tried_at_by_duty[duty] = now
                await self._try_acquire(duty)

    def _may_hand_over(self, duty: str, now: float) -> bool:
        """Returns whether this host has been no candidate for HAND_OVER_S."""
        since = self._last_candidate_at_by_duty.setdefault(duty, now)
        return now - since >= LeaseTiming.HAND_OVER_S

    def _may_try(self, duty: str, now: float) -> bool:
        if self._stopping:
            return False
        tried_at = self._tried_at_by_duty.get(duty)
        return tried_at is None or now - tried_at >= LeaseTiming.WATCH_S

    def _is_candidate(self, duty: str, live_hosts: Sequence[str]) -> bool:
        return self._host in membership.rank_by_rendezvous_hash(
            live_hosts, duty)[:_CANDIDATES_PER_DUTY]

    async def _renew(self, duty: str, held: leases.HeldLease) -> None:
        now = self._clock.monotonic()
        new_lease = leases.lease_to_renew(held, now=now)
        if new_lease is None:
            self._record_lost(duty)
        elif now - self._renewed_at_by_duty[duty] >= LeaseTiming.RENEW_S:
            await self._write(duty, new_lease, held.row_version)

    async def _try_acquire(self, duty: str) -> None:
        """Acquires a duty whose lease is free or has expired."""
        found = await self._table.get(lease_key(duty))
        if isinstance(found, result.Err):
            return
        row = found.ok_value
        now = self._clock.monotonic()
        if row is not None:
            lease = parse_lease(row.value)
            observation = leases.update_observation(
                self._observation_by_duty.get(duty), lease, now)
            self._observation_by_duty[duty] = observation
            if observation.lease == lease:
                self._version_by_duty[duty] = row.version
        new_lease = leases.lease_to_acquire(self._observation_by_duty.get(duty),
                                            duty=duty,
                                            holder=self._holder,
                                            duration_s=LeaseTiming.DURATION_S,
                                            now=now)
        if new_lease is None:
            return
        version = self._version_by_duty.get(duty, table.ABSENT_VERSION)
        written = await self._write(duty, new_lease, version)
        if isinstance(written, result.Ok):
            self.acquired_count += 1
            logging.info('duty=%s acquired fencing=%d', duty, new_lease.fencing)
            if self.on_acquire is not None:
                self.on_acquire(duty)

    async def commit_if_held(
        self, duty: str, writes: Sequence[table.TableWrite]
    ) -> result.Result[None, table.TableError]:
        """Commits writes only if this host still holds a duty.

        The lease is renewed in the same transaction, so that the table rejects
        the writes of a holder that has been replaced.

        Args:
            duty: the duty.
            writes: the writes that depend on it.

        Returns:
            An error of CONFLICT when the duty is lost or a row has changed.
        """
        async with self._locks_by_duty[duty]:
            held = self.held_lease(duty)
            new_lease = None
            if held is not None:
                new_lease = leases.lease_to_renew(held,
                                                  now=self._clock.monotonic())
            if held is None or new_lease is None:
                return result.Err(table.TableError.CONFLICT)
            return await self._write(duty, new_lease, held.row_version, writes)

    async def _write(
        self,
        duty: str,
        new_lease: leases.Lease,
        version: int,
        writes: Sequence[table.TableWrite] = ()
    ) -> result.Result[None, table.TableError]:
        """Writes a duty's lease; reads it back if the outcome is unknown."""
        sent_at = self._clock.monotonic()
        own = table.TableWrite(lease_key(duty),
                               _LEASE_ADAPTER.dump_json(new_lease), version)
        written = await self._table.commit([own, *writes])
        if isinstance(written, result.Ok):
            self._record_held(duty, new_lease, written.ok_value[0], sent_at)
            return result.Ok(None)
        if written.err_value in (table.TableError.UNKNOWN,
                                 table.TableError.CONFLICT):
            return await self._resolve_write(duty, new_lease, sent_at, written)
        return result.Err(written.err_value)

    async def _resolve_write(
        self, duty: str, new_lease: leases.Lease, sent_at: float,
        written: result.Err[table.TableError]
    ) -> result.Result[None, table.TableError]:
        found = await self._table.get(lease_key(duty))
        if isinstance(found, result.Err):
            return written
        row = found.ok_value
        lease = None if row is None else parse_lease(row.value)
        outcome = leases.resolve_write(new_lease, lease)
        if outcome is leases.WriteOutcome.WRITTEN and row is not None:
            self._record_held(duty, new_lease, row.version, sent_at)
            return result.Ok(None)
        held = self._held_by_duty.get(duty)
        if held is not None and row is not None and lease is not None:
            self._update_held(duty, held, lease, row.version)
        return written

    def _update_held(self, duty: str, held: leases.HeldLease,
                     found: leases.Lease, version: int) -> None:
        """Updates a held lease from its row; a newer fencing token ends it."""
        if (found.holder == self._holder and
                found.fencing == held.lease.fencing):
            self._held_by_duty[duty] = leases.HeldLease(
                lease=found, row_version=version, safe_until=held.safe_until)
        elif found.fencing > held.lease.fencing:
            self._record_lost(duty)

    def _record_held(self, duty: str, lease: leases.Lease, version: int,
                     sent_at: float) -> None:
        if not lease.holder:
            self._held_by_duty.pop(duty, None)
            return
        until = leases.safe_until(sent_at, lease.duration_s)
        self._held_by_duty[duty] = leases.HeldLease(lease=lease,
                                                    row_version=version,
                                                    safe_until=until)
        self._renewed_at_by_duty[duty] = sent_at

    def _record_lost(self, duty: str) -> None:
        del self._held_by_duty[duty]
        self.lost_count += 1
        logging.warning('duty=%s lost', duty)

    async def release_all(self) -> None:
        """Releases all leases and stops acquiring, for a graceful shutdown."""
        self._stopping = True
        await asyncio.gather(*(self._release(duty) for duty in self._duties))

    async def _release(self, duty: str) -> None:
        async with self._locks_by_duty[duty]:
            held = self._held_by_duty.get(duty)
            if held is not None:
                await self._release_held(duty, held)

    async def _release_held(self, duty: str, held: leases.HeldLease) -> None:
        await self._write(duty, leases.lease_to_release(held), held.row_version)
        self._held_by_duty.pop(duty, None)
        self._last_candidate_at_by_duty.pop(duty, None)
        logging.info('duty=%s released', duty)
