"""Writes the structured log as JSON lines to standard output.

Lines above a rate limit are dropped and counted; unimportant lines are dropped
first. If the reader of the output stops reading, lines are dropped instead of
blocking the process.
"""

import json
import os
import time
from typing import Any

from pollenthread.core import log_events, token_bucket
from pollenthread.ports import event_log

__all__ = ['JsonLog']

_LINES_PER_S = 60.0
_BURST_LINES = 300.0
_RESERVED_FOR_IMPORTANT_LINES = 150.0
_MAX_UNSENT_BYTES = 64 * 1024
_STANDARD_OUTPUT = 1


class JsonLog(event_log.EventLog):
    """Writes JSON lines to a non-blocking file descriptor.

    Attributes:
        dropped: the number of dropped lines.
    """

    def __init__(self,
                 *,
                 host: str,
                 descriptor: int = _STANDARD_OUTPUT) -> None:
        self._host = host
        self._descriptor = descriptor
        self._unsent = bytearray()
        self._rate_limiter = token_bucket.TokenBucket(_LINES_PER_S,
                                                      _BURST_LINES,
                                                      _BURST_LINES,
                                                      time.monotonic())
        self.dropped = 0
        self._unreported_drops = 0
        os.set_blocking(descriptor, False)

    def write(self,
              event: log_events.LogEvent,
              *,
              important: bool = True,
              **fields: Any) -> None:
        now = time.monotonic()
        if not self._may_write(important, now):
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            self._append(log_events.LogEvent.LINES_DROPPED, now,
                         {'count': count})
        self._append(event, now, fields)
        self._flush()

    def _may_write(self, important: bool, now: float) -> bool:
        self._rate_limiter = token_bucket.refill(self._rate_limiter, now)
        required_units = 1.0 if important else _RESERVED_FOR_IMPORTANT_LINES
        if self._rate_limiter.tokens < required_units or len(
                self._unsent) > _MAX_UNSENT_BYTES:
            return False
        self._rate_limiter = token_bucket.spend(self._rate_limiter, 1.0, now)
        return True

    def _append(self, event: log_events.LogEvent, now: float,
                fields: dict[str, Any]) -> None:
        line = {
            't': round(now, 4),
            'host': self._host,
            'event': event.event_name,
            **fields
        }
        self._unsent += json.dumps(line, separators=(',', ':'),
                                   default=str).encode() + b'\n'

    def _flush(self) -> None:
        try:
            sent = os.write(self._descriptor, self._unsent)
            del self._unsent[:sent]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the other end.
            self.dropped += 1
            self._unsent.clear()
