"""Takes, keeps and gives up duties by leases in the table."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import pydantic
import result
from absl import logging

from pollenthread.app import directory as directory_module
from pollenthread.core import leases, membership
from pollenthread.ports import clock, table

__all__ = ['LeaseKeeper', 'LeaseTimes', 'lease_key', 'parse_lease']

_CANDIDATES = 2
_LEASE = pydantic.TypeAdapter(leases.Lease)


class LeaseTimes:
    """How long a lease lasts and how often it is written and watched."""

    DURATION_S = 5.0
    RENEW_S = 1.5
    STEP_S = 0.5
    WATCH_S = 1.0
    HAND_OVER_S = 10.0


def lease_key(duty: str) -> str:
    """The key of a duty's row."""
    return f'leases/{duty}'


def parse_lease(value: bytes) -> leases.Lease:
    """Reads the value of a duty's row."""
    return _LEASE.validate_json(value)


class LeaseKeeper:
    """The duties of one entry host."""

    def __init__(self, *, table_service: table.TableService,
                 directory: directory_module.Directory, time: clock.Clock,
                 host: str, incarnation: str, duties: Sequence[str]) -> None:
        self._table = table_service
        self._directory = directory
        self._time = time
        self._host = host
        self._holder = f'{host}:{incarnation}'
        self._duties = tuple(duties)
        self._held_by_duty: dict[str, leases.Held] = {}
        self._known_by_duty: dict[str, leases.Observation] = {}
        self._version_by_duty: dict[str, int] = {}
        self._renewed_at_by_duty: dict[str, float] = {}
        self._watched_at_by_duty: dict[str, float] = {}
        self._preferred_at_by_duty: dict[str, float] = {}
        self._locks_by_duty = {duty: asyncio.Lock() for duty in self._duties}
        self._wake = asyncio.Event()
        self._stopping = False
        self.acquired_count = 0
        self.lost_count = 0
        self.on_acquire: Callable[[str], None] | None = None

    def held(self, duty: str) -> leases.Held | None:
        """The lease of a duty if this host may act on it now."""
        held = self._held_by_duty.get(duty)
        if held is None or not leases.is_safe(held, self._time.monotonic()):
            return None
        return held

    def duties(self) -> list[str]:
        """The duties that this host may act on now."""
        return [duty for duty in self._held_by_duty if self.held(duty)]

    def wake(self) -> None:
        """Looks at the rows soon, since a holder may be gone."""
        self._wake.set()

    async def run(self) -> None:
        """Keeps and takes duties until cancelled."""
        while True:
            await self.step()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LeaseTimes.STEP_S):
                    await self._wake.wait()
            self._wake.clear()

    async def step(self) -> None:
        """Renews what is held and tries what this host is a candidate for."""
        live = self._directory.live_entries()
        await asyncio.gather(*(self._keep(duty, live) for duty in self._duties))

    async def _keep(self, duty: str, live: Sequence[str]) -> None:
        async with self._locks_by_duty[duty]:
            held = self._held_by_duty.get(duty)
            now = self._time.monotonic()
            is_candidate = self._is_candidate(duty, live)
            if held is not None and not is_candidate and self._may_hand_over(
                    duty, now):
                await self._let_go(duty, held)
            elif held is not None:
                if is_candidate:
                    self._preferred_at_by_duty[duty] = now
                await self._renew(duty, held)
            elif is_candidate and self._may_watch(duty, now):
                self._watched_at_by_duty[duty] = now
                await self._try(duty)

    def _may_hand_over(self, duty: str, now: float) -> bool:
        """Whether other hosts have been preferred for long enough."""
        since = self._preferred_at_by_duty.setdefault(duty, now)
        return now - since >= LeaseTimes.HAND_OVER_S

    def _may_watch(self, duty: str, now: float) -> bool:
        if self._stopping:
            return False
        watched_at = self._watched_at_by_duty.get(duty)
        return watched_at is None or now - watched_at >= LeaseTimes.WATCH_S

    def _is_candidate(self, duty: str, live: Sequence[str]) -> bool:
        return self._host in membership.ranked(live, duty)[:_CANDIDATES]

    async def _renew(self, duty: str, held: leases.Held) -> None:
        now = self._time.monotonic()
        wanted = leases.renew(held, now=now)
        if wanted is None:
            self._lose(duty)
        elif now - self._renewed_at_by_duty[duty] >= LeaseTimes.RENEW_S:
            await self._write(duty, wanted, held.version)

    async def _try(self, duty: str) -> None:
        """Takes a duty whose lease is free or has expired."""
        found = await self._table.get(lease_key(duty))
        if isinstance(found, result.Err):
            return
        row = found.ok_value
        now = self._time.monotonic()
        if row is not None:
            lease = parse_lease(row.value)
            known = leases.observe(self._known_by_duty.get(duty), lease, now)
            self._known_by_duty[duty] = known
            if known.lease == lease:
                self._version_by_duty[duty] = row.version
        wanted = leases.acquire(self._known_by_duty.get(duty),
                                duty=duty,
                                holder=self._holder,
                                duration_s=LeaseTimes.DURATION_S,
                                now=now)
        if wanted is None:
            return
        version = self._version_by_duty.get(duty, table.ABSENT_VERSION)
        done = await self._write(duty, wanted, version)
        if isinstance(done, result.Ok):
            self.acquired_count += 1
            logging.info('duty=%s acquired fencing=%d', duty, wanted.fencing)
            if self.on_acquire is not None:
                self.on_acquire(duty)

    async def commit_under(
        self, duty: str, writes: Sequence[table.TableWrite]
    ) -> result.Result[None, table.TableError]:
        """Commits writes only if this host still holds a duty.

        The duty's row is renewed in the same transaction, so that the table
        itself refuses a holder that has been followed by another.

        Returns:
            An error of CONFLICT when the duty is lost or a row has changed.
        """
        async with self._locks_by_duty[duty]:
            held = self.held(duty)
            wanted = None
            if held is not None:
                wanted = leases.renew(held, now=self._time.monotonic())
            if held is None or wanted is None:
                return result.Err(table.TableError.CONFLICT)
            return await self._write(duty, wanted, held.version, writes)

    async def _write(
        self,
        duty: str,
        wanted: leases.Lease,
        version: int,
        writes: Sequence[table.TableWrite] = ()
    ) -> result.Result[None, table.TableError]:
        """Writes a duty's row; a lost answer is settled by reading it."""
        sent_at = self._time.monotonic()
        own = table.TableWrite(lease_key(duty), _LEASE.dump_json(wanted),
                               version)
        done = await self._table.commit([own, *writes])
        if isinstance(done, result.Ok):
            self._hold(duty, wanted, done.ok_value[0], sent_at)
            return result.Ok(None)
        if done.err_value in (table.TableError.UNKNOWN,
                              table.TableError.CONFLICT):
            return await self._settle(duty, wanted, sent_at, done)
        return result.Err(done.err_value)

    async def _settle(
        self, duty: str, wanted: leases.Lease, sent_at: float,
        done: result.Err[table.TableError]
    ) -> result.Result[None, table.TableError]:
        found = await self._table.get(lease_key(duty))
        if isinstance(found, result.Err):
            return done
        row = found.ok_value
        lease = None if row is None else parse_lease(row.value)
        settled = leases.settle(wanted, lease)
        if settled is leases.Settled.WRITTEN and row is not None:
            self._hold(duty, wanted, row.version, sent_at)
            return result.Ok(None)
        held = self._held_by_duty.get(duty)
        if held is not None and row is not None and lease is not None:
            self._follow(duty, held, lease, row.version)
        return done

    def _follow(self, duty: str, held: leases.Held, found: leases.Lease,
                version: int) -> None:
        """Takes in the row that a held duty has now."""
        if (found.holder == self._holder and
                found.fencing == held.lease.fencing):
            self._held_by_duty[duty] = leases.Held(lease=found,
                                                   version=version,
                                                   until=held.until)
        elif found.fencing > held.lease.fencing:
            self._lose(duty)

    def _hold(self, duty: str, lease: leases.Lease, version: int,
              sent_at: float) -> None:
        if not lease.holder:
            self._held_by_duty.pop(duty, None)
            return
        until = leases.safe_until(sent_at, lease.duration_s)
        self._held_by_duty[duty] = leases.Held(lease=lease,
                                               version=version,
                                               until=until)
        self._renewed_at_by_duty[duty] = sent_at

    def _lose(self, duty: str) -> None:
        del self._held_by_duty[duty]
        self.lost_count += 1
        logging.warning('duty=%s lost', duty)

    async def release_all(self) -> None:
        """Lets every duty go, for a planned stop."""
        self._stopping = True
        await asyncio.gather(*(self._release(duty) for duty in self._duties))

    async def _release(self, duty: str) -> None:
        async with self._locks_by_duty[duty]:
            held = self._held_by_duty.get(duty)
            if held is not None:
                await self._let_go(duty, held)

    async def _let_go(self, duty: str, held: leases.Held) -> None:
        await self._write(duty, leases.release(held), held.version)
        self._held_by_duty.pop(duty, None)
        self._preferred_at_by_duty.pop(duty, None)
        logging.info('duty=%s released', duty)
