"""Emulates servers that say whether they want further requests."""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator

from pollenthread.core import http_headers, server_registry
from pollenthread.ports import upstream

__all__ = ['OutspokenServers']

_OK = 200
_UNAVAILABLE = 503
_MISDIRECTED = 421
_WORK_S = 0.05


class _Response(upstream.UpstreamResponse):
    """A response with a status and an empty body."""

    def __init__(self, status: int) -> None:
        self.status = status
        self.headers: tuple[http_headers.Header, ...] = ()
        self.may_have_executed = status == _OK
        self.is_misdirected = status == _MISDIRECTED
        self.load = None
        self.limit_per_s = None
        self.closes_connection = False

    # The async generator implements the iterator of the port.
    # pylint: disable-next=invalid-overridden-method
    async def read(self) -> AsyncIterator[bytes]:
        yield b''


class OutspokenServers(upstream.UpstreamClient):
    """Servers that leave, or reject requests for some time.

    Attributes:
        leaving: servers that say that they leave.
        pause_by_server: seconds for which servers that reject all requests want
            no other one.
        other_at_address: servers at whose address another one answers, which
            leaves.
        arrivals_by_server: when requests reached each server, in seconds.
    """

    def __init__(self) -> None:
        self.leaving: set[str] = set()
        self.pause_by_server: dict[str, float] = {}
        self.other_at_address: set[str] = set()
        self.arrivals_by_server: collections.defaultdict[
            str, list[float]] = collections.defaultdict(list)

    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        name = attempt.server.id
        self.arrivals_by_server[name].append(asyncio.get_running_loop().time())
        if name in self.pause_by_server:
            response = _Response(_UNAVAILABLE)
            response.pause_s = self.pause_by_server[name]
        elif name in self.other_at_address:
            response = _Response(_MISDIRECTED)
            response.is_leaving = True
        else:
            await asyncio.sleep(_WORK_S)
            response = _Response(_OK)
            response.is_leaving = name in self.leaving
        yield response

    async def is_refusing(self, server: server_registry.Server) -> bool:
        return False
