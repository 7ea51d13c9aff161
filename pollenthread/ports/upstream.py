"""Interface of an entry host to the servers that it connects to directly."""

import abc
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from pollenthread.core import caller_request, http_headers, server_registry

__all__ = [
    'UpstreamConnectError', 'ReportedServerLoad', 'UpstreamClient',
    'UpstreamResponse', 'UpstreamDisconnectedError', 'UpstreamAttempt'
]


class UpstreamConnectError(Exception):
    """No connection could be established, so nothing was sent."""


class UpstreamDisconnectedError(Exception):
    """The connection broke after something was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedServerLoad:
    """Load that a server reports with a response.

    Attributes:
        running: requests in progress.
        waiting: queued requests.
        slots: requests that the server can process concurrently.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAttempt:
    """One attempt to execute a request on a server.

    Attributes:
        server: the only server that may execute the request.
        request: the caller's request.
        time_left_s: the time left until the deadline, in seconds.
        workspace: the workspace that owns the caller's API key, or None.
        last_event_id: the id of the last event that the caller received, if it
            resumes an event stream, or None.
        priority: from 0, admitted first, to 9, admitted last.
    """

    server: server_registry.Server
    request: caller_request.CallerRequest
    time_left_s: float
    workspace: str | None
    last_event_id: str | None
    priority: int


class UpstreamResponse(abc.ABC):
    """A response whose status and headers have been received.

    Attributes:
        status: the HTTP status.
        headers: the headers that may be forwarded to the caller.
        may_have_executed: False if the server reported that it did not execute
            the request.
        is_misdirected: whether the address now belongs to another server, which
            rejected the request.
        load: the load that the server reports, or None.
        limit_per_s: requests per second that the server accepts from all hosts
            together; infinite if it names no limit, None if the response does
            not tell.
        closes_connection: whether the server closes the connection after this
            response.
        is_leaving: whether the server says that it leaves.
        pause_s: seconds for which the server wants no other request of this
            host; None if it does not say.
    """

    status: int
    headers: tuple[http_headers.Header, ...]
    may_have_executed: bool
    is_misdirected: bool
    load: ReportedServerLoad | None
    limit_per_s: float | None
    closes_connection: bool
    is_leaving: bool = False
    pause_s: float | None = None

    @abc.abstractmethod
    def read(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks as they are received.

        Raises:
            UpstreamDisconnectedError: the response ended before its body was
                complete.
        """


class UpstreamClient(abc.ABC):
    """Client of all servers."""

    @abc.abstractmethod
    def send(
        self, attempt: UpstreamAttempt
    ) -> contextlib.AbstractAsyncContextManager[UpstreamResponse]:
        """Sends a request; leaving the context early cancels it.

        Raises:
            UpstreamConnectError: nothing was sent.
            UpstreamDisconnectedError: the connection broke, so the request may
                have been executed.
        """

    @abc.abstractmethod
    async def is_refusing(self, server: server_registry.Server) -> bool:
        """Returns whether the host of a server refuses connections to it.

        Then the server has ended. One that hung up on a single request, or
        cannot be reached, does not refuse.
        """
