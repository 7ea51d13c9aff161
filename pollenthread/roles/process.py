"""Functions that all processes share: stop signals, events and addresses."""

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
    """Handles SIGTERM and SIGINT.

    Must be created in a running event loop.

    Attributes:
        graceful: set by the first signal, which requests a graceful shutdown.
        immediate: set by the second signal, which requests an immediate stop.
    """

    def __init__(self) -> None:
        self.graceful = asyncio.Event()
        self.immediate = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)

    def _on_signal(self) -> None:
        if self.graceful.is_set():
            logging.info('second stop signal received; stopping immediately')
            self.immediate.set()
        else:
            logging.info('stop signal received; shutting down gracefully')
            self.graceful.set()

    async def wait_immediate(self, timeout_s: float) -> bool:
        """Waits for the second signal.

        Args:
            timeout_s: maximum time to wait, in seconds.

        Returns:
            Whether the signal was received.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.immediate.wait()
            return True
        except TimeoutError:
            return False


def new_incarnation() -> str:
    """Returns a random id for this start of the process."""
    return secrets.token_hex(_INCARNATION_BYTES)


def print_event(event: dict[str, Any]) -> None:
    """Prints an event as one line of JSON to standard output."""
    sys.stdout.write(json.dumps(event) + '\n')
    sys.stdout.flush()


def split_address(address: str) -> tuple[str, int]:
    """Splits an address of the form `ip:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)
