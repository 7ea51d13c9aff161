"""Interface of an agent to the model engine or plain service on its host."""

import abc
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from pollenthread.core import http_headers

__all__ = [
    'LocalUpstreamResponse', 'LocalUpstream', 'LocalUpstreamRequest',
    'LocalUpstreamConnectError'
]


class LocalUpstreamConnectError(Exception):
    """The upstream could not be reached, so nothing was sent to it."""


@dataclasses.dataclass(frozen=True, slots=True)
class LocalUpstreamRequest:
    """An HTTP request to the upstream.

    Attributes:
        method: the HTTP method.
        path: the path with its query.
        headers: the request headers.
        body: the complete body.
    """

    method: str
    path: str
    headers: tuple[http_headers.Header, ...]
    body: bytes


class LocalUpstreamResponse(abc.ABC):
    """An HTTP response whose body is still being received."""

    @property
    @abc.abstractmethod
    def status(self) -> int:
        """The HTTP status of the response."""

    @property
    @abc.abstractmethod
    def headers(self) -> tuple[http_headers.Header, ...]:
        """The headers of the response."""

    @property
    @abc.abstractmethod
    def is_delimited(self) -> bool:
        """Whether a truncated body can be distinguished from a complete one."""

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return any(
            name == 'content-type' and value.startswith('text/event-stream')
            for name, value in self.headers)

    @abc.abstractmethod
    def read(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks as they are received.

        Raises:
            ConnectionError: the response ended before its body was complete.
        """


class LocalUpstream(abc.ABC):
    """Client of the engine or service on the agent's host."""

    @abc.abstractmethod
    def call(
        self, request: LocalUpstreamRequest
    ) -> contextlib.AbstractAsyncContextManager[LocalUpstreamResponse]:
        """Sends a request; leaving the context early cancels it.

        Raises:
            LocalUpstreamConnectError: nothing was sent.
            ConnectionError: the connection broke after something was sent.
        """
