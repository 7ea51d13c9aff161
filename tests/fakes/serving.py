"""What the stand-ins share: serving, faults on order, and the ready line."""

import abc
import asyncio
import json
import signal
import sys
from typing import Any

from pollenthread.adapters import http_server

__all__ = ['FakeHandler', 'run']


class FakeHandler(http_server.RequestHandler):
    """A stand-in whose faults are ordered with `POST /fault`.

    `POST /fault` takes a JSON object of fault names and values, which replaces
    the faults in force; an empty object ends them. `GET /fault` shows them.
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
        """Uses up one occurrence of a fault whose value is a count."""
        left = self.faults.get(name, 0)
        if left:
            self.faults[name] = left - 1
        return left

    @abc.abstractmethod
    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        """Answers a request that is not about faults."""


async def _serve(handler: FakeHandler) -> None:
    limits = http_server.ServerLimits(max_body_bytes=8 * 1024 * 1024,
                                      idle_timeout_s=3600.0)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with http_server.HttpServer(handler=handler, limits=limits) as server:
        sys.stdout.write(
            json.dumps({
                'event': 'ready',
                'address': server.address
            }) + '\n')
        sys.stdout.flush()
        await stop.wait()


def run(handler: FakeHandler) -> None:
    """Serves on a port chosen by the system until SIGTERM."""
    asyncio.run(_serve(handler))
