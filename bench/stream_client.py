"""A cheap caller for measurements: counts events and reads their stamps."""

import asyncio
import json
import re
import time
from typing import Any

from hdrh import histogram

__all__ = ['Stream', 'latencies', 'milliseconds', 'request_bytes']

_STAMP = re.compile(rb'"at_ns": (\d+)')
_END = b'data: [DONE]\n\n'
_MAX_US = 60_000_000
_PERCENTILES = (50, 95, 99)


def latencies() -> histogram.HdrHistogram:
    """An empty histogram of microseconds."""
    return histogram.HdrHistogram(1, _MAX_US, 3)


def milliseconds(found: histogram.HdrHistogram) -> dict[str, float]:
    """The percentiles of a histogram of microseconds, in milliseconds."""
    return {
        f'p{percent}_ms': found.get_value_at_percentile(percent) / 1000
        for percent in _PERCENTILES
    }


def request_bytes(document: dict[str, Any]) -> bytes:
    """A streamed chat completion request as it goes over the connection."""
    body = json.dumps(document).encode()
    return (f'POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n'
            f'content-type: application/json\r\nx-workspace: buna\r\n'
            f'x-class: caption\r\nconnection: close\r\n'
            f'content-length: {len(body)}\r\n\r\n').encode() + body


class Stream(asyncio.Protocol):
    """One streamed answer on its own connection.

    Attributes:
        first_us: microseconds from the request to the first event.
        events: events so far.
        whole: whether the end marker has come.
        ended: done when the connection has closed.
    """

    def __init__(self, *, request: bytes,
                 transit: histogram.HdrHistogram | None,
                 gaps: histogram.HdrHistogram | None) -> None:
        self._request = request
        self._transit = transit
        self._gaps = gaps
        self._started_ns = 0
        self._last_ns = 0
        self._tail = b''
        self.first_us = 0
        self.events = 0
        self.whole = False
        self.ended = asyncio.get_running_loop().create_future()

    @classmethod
    async def run(cls,
                  address: str,
                  request: bytes,
                  transit: histogram.HdrHistogram | None = None,
                  gaps: histogram.HdrHistogram | None = None) -> 'Stream':
        """Sends a request and waits for the end of its answer."""
        host, _, port = address.rpartition(':')
        _, stream = await asyncio.get_running_loop().create_connection(
            lambda: cls(request=request, transit=transit, gaps=gaps), host,
            int(port))
        await stream.ended
        return stream

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._started_ns = time.monotonic_ns()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        now_ns = time.monotonic_ns()
        count = data.count(b'\n\ndata: ') + data.count(b'\r\ndata: ')
        if count:
            self._observe(now_ns, count)
        if self._transit is not None:
            for stamp in _STAMP.findall(data):
                self._transit.record_value(max(1,
                                               (now_ns - int(stamp)) // 1000))
        self._tail = (self._tail + data)[-64:]
        self.whole = _END in self._tail

    def _observe(self, now_ns: int, count: int) -> None:
        if not self.events:
            self.first_us = (now_ns - self._started_ns) // 1000
        elif self._gaps is not None:
            self._gaps.record_value(max(1, (now_ns - self._last_ns) // 1000))
        self._last_ns = now_ns
        self.events += count

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)
