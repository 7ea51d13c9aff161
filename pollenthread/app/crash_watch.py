"""Notices crashes of servers, and which requests they crashed under."""

import asyncio
import dataclasses
from collections.abc import Callable

from pollenthread.app import pending_attempt
from pollenthread.core import crash_evidence, log_events, server_registry
from pollenthread.ports import clock, event_log, upstream

__all__ = ['CrashWatch']

# The connections of a crashed server do not all break at the same instant.
_COLLECTING_S = 0.01


@dataclasses.dataclass(eq=False)
class _BrokenServer:
    """A server that broke off responses.

    Attributes:
        server: the server.
        begun: parts of requests whose response had begun.
        sent: parts of requests without a response.
        check: finds out whether the server has crashed.
    """

    server: server_registry.Server
    begun: set[str] = dataclasses.field(default_factory=set)
    sent: set[str] = dataclasses.field(default_factory=set)
    check: asyncio.Task[None] | None = None


class CrashWatch:
    """Finds the crashes behind broken responses of this host.

    A server that ends because it is replaced, hangs up on one request or cannot
    be reached has not crashed.
    """

    def __init__(self, *, upstream_client: upstream.UpstreamClient,
                 registry: server_registry.ServerRegistry,
                 on_crash: Callable[[crash_evidence.Crash], None],
                 time: clock.Clock, log: event_log.EventLog) -> None:
        """Creates a watch.

        Args:
            upstream_client: asks whether a server still accepts connections.
            registry: the known servers.
            on_crash: receives each crash.
            time: the clock.
            log: the structured log.
        """
        self._upstream_client = upstream_client
        self._registry = registry
        self._on_crash = on_crash
        self._clock = time
        self._log = log
        self._broken_by_id: dict[str, _BrokenServer] = {}

    async def examine(self, pending: pending_attempt.PendingAttempt, *,
                      is_suspect: bool) -> None:
        """Examines an attempt that its server broke off.

        Waits for the result if the request may well have crashed the server.

        Args:
            pending: the attempt.
            is_suspect: whether a server has crashed before with the request.
        """
        stage = pending.stage
        parts = pending.job.parts
        if stage is crash_evidence.AttemptStage.STREAMING:
            return
        broken = self._broken_by_id.get(pending.server.id)
        if broken is None:
            broken = _BrokenServer(pending.server)
            self._broken_by_id[pending.server.id] = broken
            broken.check = asyncio.create_task(self._check(broken))
        is_begun = stage is crash_evidence.AttemptStage.BEGUN
        (broken.begun if is_begun else broken.sent).update(parts)
        if broken.check is not None and (is_begun or is_suspect):
            await asyncio.shield(broken.check)

    async def _check(self, broken: _BrokenServer) -> None:
        server = broken.server
        try:
            await self._clock.sleep(_COLLECTING_S)
            has_crashed = (self._is_expected_to_run(server) and
                           await self._upstream_client.is_refusing(server))
        finally:
            del self._broken_by_id[server.id]
        if not has_crashed:
            return
        self._log.write(log_events.LogEvent.SERVER_CRASHED,
                        server=server.id,
                        begun=sorted(broken.begun),
                        sent=sorted(broken.sent))
        self._on_crash(
            crash_evidence.Crash(f'{server.id}@{server.born_ms}',
                                 self._clock.monotonic(),
                                 frozenset(broken.begun),
                                 frozenset(broken.sent)))

    def _is_expected_to_run(self, server: server_registry.Server) -> bool:
        known = self._registry.get(server.id)
        return (known is not None and
                known.state is server_registry.ServerState.READY)
