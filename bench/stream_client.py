"""A streaming HTTP client with little overhead, for benchmarks.

It counts the events of a response without parsing them, and reads the time
stamps that a fake engine writes into them.
"""

import asyncio
import json
import re
import time
from typing import Any

from hdrh import histogram

__all__ = ['Stream', 'create_histogram', 'percentiles_ms', 'request_bytes']

_SENT_AT_PATTERN = re.compile(rb'"at_ns": (\d+)')
_END_EVENT = b'data: [DONE]\n\n'
_MAX_US = 60_000_000
_PERCENTILES = (50, 95, 99)


def create_histogram() -> histogram.HdrHistogram:
    """Creates an empty histogram of durations in microseconds."""
    return histogram.HdrHistogram(1, _MAX_US, 3)


def percentiles_ms(values_us: histogram.HdrHistogram) -> dict[str, float]:
    """Returns percentiles of a histogram of microseconds, in milliseconds."""
    return {
        f'p{percent}_ms': values_us.get_value_at_percentile(percent) / 1000
        for percent in _PERCENTILES
    }


def request_bytes(document: dict[str, Any]) -> bytes:
    """Encodes an HTTP request for a streamed chat completion.

    Args:
        document: the JSON body.
    """
    body = json.dumps(document).encode()
    return (f'POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n'
            f'content-type: application/json\r\nx-workspace: buna\r\n'
            f'x-class: caption\r\nconnection: close\r\n'
            f'content-length: {len(body)}\r\n\r\n').encode() + body


class Stream(asyncio.Protocol):
    """A streamed response on its own connection.

    Attributes:
        first_event_us: time from the request to the first event, in
            microseconds.
        events: number of events so far.
        is_complete: whether the end marker has been received.
        closed: future that is done when the connection has closed.
    """

    def __init__(self, *, request: bytes,
                 transit_histogram: histogram.HdrHistogram | None,
                 gap_histogram: histogram.HdrHistogram | None) -> None:
        self._request = request
        self._transit_histogram = transit_histogram
        self._gap_histogram = gap_histogram
        self._started_ns = 0
        self._last_event_ns = 0
        self._received_tail = b''
        self.first_event_us = 0
        self.events = 0
        self.is_complete = False
        self.closed = asyncio.get_running_loop().create_future()

    @classmethod
    async def run(
            cls,
            address: str,
            request: bytes,
            transit_histogram: histogram.HdrHistogram | None = None,
            gap_histogram: histogram.HdrHistogram | None = None) -> 'Stream':
        """Sends a request and waits until its connection is closed.

        Args:
            address: host and port of the server.
            request: the encoded request.
            transit_histogram: records the time from the stamp of each event to
                its arrival, in microseconds.
            gap_histogram: records the time between two reads with events, in
                microseconds.

        Returns:
            The response.
        """
        host, _, port = address.rpartition(':')
        _, stream = await asyncio.get_running_loop().create_connection(
            lambda: cls(request=request,
                        transit_histogram=transit_histogram,
                        gap_histogram=gap_histogram), host, int(port))
        await stream.closed
        return stream

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._started_ns = time.monotonic_ns()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        now_ns = time.monotonic_ns()
        count = data.count(b'\n\ndata: ') + data.count(b'\r\ndata: ')
        if count:
            self._record_events(now_ns, count)
        if self._transit_histogram is not None:
            for sent_at_ns in _SENT_AT_PATTERN.findall(data):
                self._transit_histogram.record_value(
                    max(1, (now_ns - int(sent_at_ns)) // 1000))
        self._received_tail = (self._received_tail + data)[-64:]
        self.is_complete = _END_EVENT in self._received_tail

    def _record_events(self, now_ns: int, count: int) -> None:
        if not self.events:
            self.first_event_us = (now_ns - self._started_ns) // 1000
        elif self._gap_histogram is not None:
            self._gap_histogram.record_value(
                max(1, (now_ns - self._last_event_ns) // 1000))
        self._last_event_ns = now_ns
        self.events += count

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed.done():
            self.closed.set_result(None)
