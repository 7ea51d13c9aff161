"""Random histories of a store that entry hosts follow, in virtual time.

The operator changes the configuration and may empty data centres, servers join,
drain and leave, entry hosts restart, and the store comes back from copies; what
was lost is written again after a while. The history checks all the time that no
running host goes back to an older configuration, uses a server that it had
stopped using, or forgets that a data centre is emptied, and at its end that all
hosts know the truth.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from pollenthread.app import host_registry
from tests.fakes import (entry_fleet, fleet_store)

__all__ = ['StoreHistory']

_SETTLING_S = 4.0
_LAST_WAIT_S = 12.0
_CHECK_INTERVAL_S = 0.1
_FIRST_SERVERS = 5
_MIN_READY_SERVERS = 2
_READY, _DRAINING = b'ready', b'draining'


class StoreHistory:
    """One history.

    Attributes:
        problems: what went wrong.
    """

    def __init__(self, *, seed: int, with_evacuations: bool = False) -> None:
        """Creates a history.

        Args:
            seed: selects the history.
            with_evacuations: whether the operator empties data centres.
        """
        self.problems: list[str] = []
        self._rng = random.Random(seed)
        self._fleet = entry_fleet.EntryFleet(
            data_centres=3,
            hosts_per_data_centre=self._rng.choice([1, 2, 3]),
            seed=seed)
        self._config = 1
        self._state_by_server = {
            f's-{number}': _READY for number in range(_FIRST_SERVERS)
        }
        self._next_server = _FIRST_SERVERS
        self._with_evacuations = with_evacuations
        self._emptied: set[str] = set()
        self._left: set[str] = set()
        self._copy: fleet_store.StoreCopy | None = None
        # By process of a host: its configuration, and servers it has dropped.
        self._version_by_process: dict[int, int] = {}
        self._dropped_by_process: dict[int, set[str]] = {}
        self._known_emptied_by_process: dict[int, set[str]] = {}

    async def run(self) -> None:
        """Runs the history and its checks."""
        await self._write_config()
        for server in self._state_by_server:
            await self._write_server(server)
        self._fleet.start()
        await asyncio.sleep(_SETTLING_S)
        checks = asyncio.create_task(self._check_all_the_time())
        steps: tuple[Callable[[], Awaitable[None]],
                     ...] = (self._change_config, self._change_config,
                             self._drain, self._remove, self._join,
                             self._make_copy, self._restore, self._restart)
        if self._with_evacuations:
            steps += (self._toggle_evacuation,) * 3
        for _ in range(self._rng.randint(6, 14)):
            await self._rng.choice(steps)()
            await asyncio.sleep(self._rng.choice([0.05, 0.5, 2.0, 5.0]))
        await asyncio.sleep(_LAST_WAIT_S)
        checks.cancel()
        self._check_end()
        for name in list(self._fleet.host_by_name):
            await self._fleet.stop_host(name)

    # Steps.

    async def _write_config(self) -> None:
        await self._fleet.store.put(entry_fleet.CONFIG_TABLE,
                                    entry_fleet.CONFIG_KEY,
                                    str(self._config).encode())

    async def _write_server(self, server: str) -> None:
        await self._fleet.store.put(entry_fleet.SERVERS_TABLE, server,
                                    self._state_by_server.get(server))

    async def _change_config(self) -> None:
        self._config += 1
        await self._write_config()

    async def _write_evacuation(self, data_centre: str) -> None:
        is_emptied = data_centre in self._emptied
        await self._fleet.store.put(entry_fleet.CONFIG_TABLE,
                                    f'evacuate/{data_centre}',
                                    b'{}' if is_emptied else None)

    async def _toggle_evacuation(self) -> None:
        data_centre = f'dc-{self._rng.randrange(3)}'
        self._emptied ^= {data_centre}
        for known in self._known_emptied_by_process.values():
            known.discard(data_centre)
        await self._write_evacuation(data_centre)

    def _pick_leaving(self) -> str | None:
        ready = self._ready_servers()
        if len(ready) <= _MIN_READY_SERVERS:
            return None
        server = self._rng.choice(sorted(ready))
        self._left.add(server)
        return server

    def _ready_servers(self) -> set[str]:
        return {
            s for s, state in self._state_by_server.items() if state == _READY
        }

    async def _drain(self) -> None:
        server = self._pick_leaving()
        if server is not None:
            self._state_by_server[server] = _DRAINING
            await self._write_server(server)

    async def _remove(self) -> None:
        server = self._pick_leaving()
        if server is not None:
            del self._state_by_server[server]
            await self._write_server(server)

    async def _join(self) -> None:
        server = f's-{self._next_server}'
        self._next_server += 1
        self._state_by_server[server] = _READY
        await self._write_server(server)

    async def _make_copy(self) -> None:
        self._copy = self._fleet.store.copy()

    async def _restore(self) -> None:
        """Lets the store come back from the copy, and writes what it lost."""
        if self._copy is None:
            await self._make_copy()
            return
        store = self._fleet.store
        store.rejected_hosts.update(self._fleet.host_by_name)
        await store.break_calls()
        await asyncio.sleep(self._rng.uniform(0.3, 2.5))
        store.restore(self._copy)
        self._copy = None
        await asyncio.sleep(self._rng.choice([0.0, 0.3]))
        store.rejected_hosts.clear()
        await asyncio.sleep(self._rng.choice([0.0, 0.3, 1.5]))
        found = {
            row.key: row.value
            for row in store.changes(entry_fleet.SERVERS_TABLE, -1).changes
        }
        for server in sorted({*found, *self._state_by_server}):
            if found.get(server) != self._state_by_server.get(server):
                await self._write_server(server)
        await self._write_config()
        if self._with_evacuations:
            for centre in range(3):
                await self._write_evacuation(f'dc-{centre}')

    async def _restart(self) -> None:
        name = self._rng.choice(sorted(self._fleet.host_by_name))
        record = self._fleet.host_by_name[name].record
        await self._fleet.stop_host(name)
        await asyncio.sleep(0.3)
        self._fleet.start_host(record)

    # Checks.

    async def _check_all_the_time(self) -> None:
        while True:
            for host in list(self._fleet.host_by_name.values()):
                self._check_host(host)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _check_host(self, host: entry_fleet.EntryHost) -> None:
        process = id(host)
        version = host.state.config.version if host.state.config else 0
        if version < self._version_by_process.get(process, 0):
            self.problems.append(f'{host.record.host} went back to {version}')
        self._version_by_process[process] = version
        emptied = host.state.evacuations.data_centres
        known = self._known_emptied_by_process.setdefault(process, set())
        if known - emptied:
            self.problems.append(f'{host.record.host} forgot {known}')
        known |= emptied & self._emptied
        used = {s.id for s in host.state.server_registry.ready('llm')}
        dropped = self._dropped_by_process.setdefault(process, set())
        if used & dropped:
            self.problems.append(f'{host.record.host} uses {used & dropped}')
        dropped |= self._left - used

    def _check_end(self) -> None:
        for host in self._fleet.host_by_name.values():
            name = host.record.host
            config = host.state.config
            if config is None or config.version != self._config:
                self.problems.append(f'{name} has {config}, not {self._config}')
            if host.state.evacuations.data_centres != self._emptied:
                self.problems.append(f'{name} does not know {self._emptied}')
            used = {s.id for s in host.state.server_registry.ready('llm')}
            if used != self._ready_servers():
                self.problems.append(f'{name}: {used ^ self._ready_servers()}')
            if any(task.done() for task in host.tasks):
                self.problems.append(f'a task of {name} has ended')
        rows = self._fleet.store.changes(host_registry.HOSTS_TABLE, -1).changes
        if {row.key for row in rows} != set(self._fleet.host_by_name):
            self.problems.append(f'registered: {[row.key for row in rows]}')
