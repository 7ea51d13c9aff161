"""What every process does: say that it is ready, and stop when asked."""

import asyncio
import json
import secrets
import signal
import sys
from typing import Any

from absl import logging

__all__ = ['StopSignal', 'print_event', 'new_incarnation', 'split_address']

_INCARNATION_BYTES = 6


class StopSignal:
    """SIGTERM or SIGINT: once for a planned stop, twice for now."""

    def __init__(self) -> None:
        self.graceful = asyncio.Event()
        self.immediate = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)

    def _on_signal(self) -> None:
        if self.graceful.is_set():
            logging.info('stop now')
            self.immediate.set()
        else:
            logging.info('planned stop')
            self.graceful.set()

    async def wait_immediate(self, timeout_s: float) -> bool:
        """Waits for the second signal; whether it came."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.immediate.wait()
            return True
        except TimeoutError:
            return False


def new_incarnation() -> str:
    """A name that no other start of any process has."""
    return secrets.token_hex(_INCARNATION_BYTES)


def print_event(event: dict[str, Any]) -> None:
    """Writes one line of JSON to standard output."""
    sys.stdout.write(json.dumps(event) + '\n')
    sys.stdout.flush()


def split_address(address: str) -> tuple[str, int]:
    """Splits `ip:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)
