"""HTTP serving, fault injection and the ready line of the stand-ins."""

import abc
import asyncio
import json
import signal
import sys
from typing import Any

from pollenthread.adapters import http_server

__all__ = ['FakeHandler', 'run']


class FakeHandler(http_server.RequestHandler):
    """Handler of a stand-in whose faults are set with `POST /fault`.

    `POST /fault` takes a JSON object of fault names and values, which replaces
    the active faults; an empty object clears them. `GET /fault` returns them.

    Attributes:
        faults: the active faults by name.
    """

    def __init__(self) -> None:
        self.faults: dict[str, Any] = {}

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        if request.path == '/fault':
            if request.method == 'POST':
                self.faults = json.loads(request.body or b'{}')
            await response.send_json(200, self.faults)
            return
        await self.respond(request, response)

    def consume_fault(self, name: str) -> Any:
        """Decrements a fault whose value is a count.

        Args:
            name: the name of the fault.

        Returns:
            The count before the call; 0 if the fault is not active.
        """
        remaining = self.faults.get(name, 0)
        if remaining:
            self.faults[name] = remaining - 1
        return remaining

    @abc.abstractmethod
    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        """Responds to a request to a path other than `/fault`."""


async def _serve(handler: FakeHandler) -> None:
    limits = http_server.ServerLimits(max_body_bytes=8 * 1024 * 1024,
                                      idle_timeout_s=3600.0)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with http_server.HttpServer(handler=handler, limits=limits) as server:
        sys.stdout.write(
            json.dumps({
                'event': 'ready',
                'address': server.address
            }) + '\n')
        sys.stdout.flush()
        await stop.wait()


def run(handler: FakeHandler) -> None:
    """Serves on a free loopback port until SIGTERM or SIGINT."""
    asyncio.run(_serve(handler))
