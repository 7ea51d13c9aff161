"""Emulates the links of hosts, on which data waits for its turn."""

import asyncio
import collections
import dataclasses

__all__ = ['FleetLinks']

_BYTES_PER_S_PER_MEGABIT = 125_000
_PROPAGATION_DELAY_S = 0.0005
# Transfers that share a link take turns after this many bytes.
_SEGMENT_BYTES = 8192
_CALL_HEADER_BYTES = 160


@dataclasses.dataclass
class _Link:
    """The link of one host.

    Attributes:
        bytes_per_s: its rate in each direction.
        sending_until: when all data from the host has been transmitted.
        receiving_until: when all data to the host has been transmitted.
    """

    bytes_per_s: float
    sending_until: float = 0.0
    receiving_until: float = 0.0


class FleetLinks:
    """The links of all hosts, by address.

    Attributes:
        received_bytes: bytes that each host has received.
    """

    def __init__(self, *, megabits_per_s: float) -> None:
        """Initializes the links.

        Args:
            megabits_per_s: the rate of links whose rate is not set.
        """
        self._default_bytes_per_s = megabits_per_s * _BYTES_PER_S_PER_MEGABIT
        self._link_by_address: dict[str, _Link] = {}
        self.received_bytes: collections.Counter[str] = collections.Counter()

    def set_rate(self, address: str, megabits_per_s: float) -> None:
        """Sets the rate of a host's link."""
        self._link_by_address[address] = _Link(megabits_per_s *
                                               _BYTES_PER_S_PER_MEGABIT)

    def _link(self, address: str) -> _Link:
        return self._link_by_address.setdefault(
            address, _Link(self._default_bytes_per_s))

    def transmit(self, source: str, target: str, size: int) -> float:
        """Queues bytes on both links.

        Returns:
            Seconds until the last byte has arrived.
        """
        now = asyncio.get_running_loop().time()
        sender, receiver = self._link(source), self._link(target)
        sender.sending_until = (max(now, sender.sending_until) +
                                size / sender.bytes_per_s)
        arrives_at = sender.sending_until + _PROPAGATION_DELAY_S
        receiver.receiving_until = max(
            arrives_at, receiver.receiving_until + size / receiver.bytes_per_s)
        self.received_bytes[target] += size
        return receiver.receiving_until - now

    async def transfer(self, source: str, target: str, size: int, *,
                       stall_timeout_s: float) -> None:
        """Waits until the bytes of a call have arrived.

        Args:
            source: the address of the sender.
            target: the address of the receiver.
            size: the number of bytes.
            stall_timeout_s: seconds within which more of them must arrive.

        Raises:
            TimeoutError: nothing more has arrived in time.
        """
        left = size + _CALL_HEADER_BYTES
        while left > 0:
            segment = min(left, _SEGMENT_BYTES)
            left -= segment
            async with asyncio.timeout(stall_timeout_s):
                await asyncio.sleep(self.transmit(source, target, segment))
