"""Servers that are reached directly."""

import abc
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from pollenthread.core import caller_request, fleet, http_headers

__all__ = [
    'UpstreamConnectError', 'ReportedServerLoad', 'UpstreamClient',
    'UpstreamResponse', 'UpstreamDisconnectedError', 'UpstreamAttempt'
]


class UpstreamConnectError(Exception):
    """No connection could be made, so nothing was sent."""


class UpstreamDisconnectedError(Exception):
    """The connection broke after something was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedServerLoad:
    """What a server says of its load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAttempt:
    """One attempt at a server.

    Attributes:
        server: the server that must run it, and no other.
        request: the caller's request.
        time_left_s: how long the answer is waited for.
        workspace: the holder of the caller's key, or None.
        last_event_id: the last event that need not be sent again, or None.
        urgency: 0 is admitted first, 9 last.
    """

    server: fleet.Server
    request: caller_request.CallerRequest
    time_left_s: float
    workspace: str | None
    last_event_id: str | None
    priority: int


class UpstreamResponse(abc.ABC):
    """An answer whose head has come.

    Attributes:
        status: the HTTP status.
        headers: what a caller may see of the headers.
        has_run: False when the server says that it did not run the request.
        is_other_server: whether another server has the address by now.
        load: what the server says of its load, or None.
        is_leaving: whether the server closes the connection after it.
    """

    status: int
    headers: tuple[http_headers.Header, ...]
    may_have_executed: bool
    is_misdirected: bool
    load: ReportedServerLoad | None
    closes_connection: bool

    @abc.abstractmethod
    def read(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes.

        Raises:
            UpstreamBroken: the answer broke off.
        """


class UpstreamClient(abc.ABC):
    """Sends requests to servers."""

    @abc.abstractmethod
    def send(
        self, attempt: UpstreamAttempt
    ) -> contextlib.AbstractAsyncContextManager[UpstreamResponse]:
        """Sends one attempt; leaving the context early cancels it.

        Raises:
            ConnectFailed: nothing was sent.
            UpstreamBroken: the connection broke, so it may have run.
        """
