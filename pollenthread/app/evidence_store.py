"""Keeps confirmed evidence of poison requests in the platform's store.

Peers tell a restarted host what it has missed. The store keeps it for the case
that all entry hosts restart at once. A part is confirmed by its second crash,
so there are a few writes for each poisonous part.
"""

import json
from collections.abc import Callable

import result

from pollenthread.app import evidence_log
from pollenthread.core import crash_evidence
from pollenthread.ports import clock, row_store

__all__ = ['CRASHES_TABLE', 'EvidenceStore']

CRASHES_TABLE = 'pollenthread_crashes'
# After this time a host knows whether it follows the store for others.
_START_DELAY_S = 1.0
_CHECK_INTERVAL_S = 0.5
_RETRY_INTERVAL_S = 1.0
_MAX_WRITES_PER_CALL = 32


class EvidenceStore:
    """Writes and reads the crashes of confirmed parts.

    Attributes:
        rejected_count: rows that could not be decoded.
    """

    def __init__(self, *, store: row_store.RowStore,
                 evidence: evidence_log.EvidenceLog, is_watcher: Callable[[],
                                                                          bool],
                 store_era: Callable[[], int], time: clock.Clock) -> None:
        """Creates a store of evidence.

        Args:
            store: the platform's store.
            evidence: the evidence of this host.
            is_watcher: whether this host reads the store for the others.
            store_era: the era of the store as far as this host knows.
            time: the clock.
        """
        self._store = store
        self._evidence = evidence
        self._is_watcher = is_watcher
        self._store_era = store_era
        self._era = 0
        self._clock = time
        self._own_servers: set[str] = set()
        self._stored_servers: set[str] = set()
        self.rejected_count = 0
        evidence.observed_callbacks.append(self._on_observation)

    def _on_observation(self, observation: evidence_log.Observation) -> None:
        self._own_servers.update(observation.crashed_servers)

    async def run(self) -> None:
        """Reads the table in each era, and writes what is confirmed."""
        await self._clock.sleep(_START_DELAY_S)
        await self._begin_era()
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_S)
            if self._store_era() > self._era:
                await self._begin_era()
            await self._write()
            await self._delete_expired()

    async def _begin_era(self) -> None:
        """Reads the table; what it has lost is written again later."""
        self._era = self._store_era()
        self._stored_servers.clear()
        if self._is_watcher():
            await self._read()

    async def _read(self) -> None:
        while isinstance(rows := await self._store.read(CRASHES_TABLE),
                         result.Err):
            await self._clock.sleep(_RETRY_INTERVAL_S)
        now = self._clock.monotonic()
        for row in rows.ok_value.changes:
            if row.value is None:
                continue
            self._stored_servers.add(row.key)
            crash = _decode(row.key, row.value, now)
            if crash is None:
                self.rejected_count += 1
            else:
                self._evidence.record_crash(crash)

    async def _write(self) -> None:
        """Writes crashes of confirmed parts that this host has noticed."""
        if not self._own_servers:
            return
        evidence = self._evidence.known
        confirmed = self._evidence.quarantine.confirming_servers(
            self._own_servers)
        missing = sorted(confirmed - self._stored_servers)
        missing = missing[:_MAX_WRITES_PER_CALL]
        if not missing:
            return
        written = await self._store.write([
            row_store.RowWrite(CRASHES_TABLE,
                               server,
                               _encode(evidence.crash_by_server[server]),
                               expected_version=None) for server in missing
        ])
        if isinstance(written, result.Ok):
            self._stored_servers.update(missing)
        else:
            await self._clock.sleep(_RETRY_INTERVAL_S)

    async def _delete_expired(self) -> None:
        """Deletes rows of crashes that are no longer evidence."""
        expired = sorted(self._stored_servers -
                         self._evidence.known.crash_by_server.keys())
        expired = expired[:_MAX_WRITES_PER_CALL]
        if not expired:
            return
        deleted = await self._store.write([
            row_store.RowWrite(CRASHES_TABLE,
                               server,
                               None,
                               expected_version=None) for server in expired
        ])
        if isinstance(deleted, result.Ok):
            self._stored_servers.difference_update(expired)
        else:
            await self._clock.sleep(_RETRY_INTERVAL_S)


def _encode(crash: crash_evidence.Crash) -> bytes:
    fields = {'begun': sorted(crash.begun), 'sent': sorted(crash.sent)}
    return json.dumps(fields).encode()


def _decode(server: str, value: bytes,
            now: float) -> crash_evidence.Crash | None:
    """Decodes a crash, as if it had just happened; None if it is malformed."""
    try:
        fields = json.loads(value)
        begun = frozenset(str(part) for part in fields['begun'])
        sent = frozenset(str(part) for part in fields['sent'])
        ''.join((*begun, *sent)).encode()
        return crash_evidence.Crash(server=server,
                                    at=now,
                                    begun=begun,
                                    sent=sent)
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
