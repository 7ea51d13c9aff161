"""Messages between hosts: UDP datagrams, and HTTP for request and response."""

import asyncio
import collections
import contextlib
import socket
import types
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Self

from pollenthread.adapters import (client_budget, http_client, http_message,
                                   http_server, peer_codec)
from pollenthread.core import errors, peer_messages
from pollenthread.ports import peers

__all__ = ['MAX_BODY_BYTES', 'HttpPeerNetwork']

_SNAPSHOT_PATH = '/peer/snapshot'
_LAYOUT_PATH = '/peer/layout'
_STATE_PATH = '/peer/state'
_METRICS_PATH = '/metrics'
# Until a response begins, and between its parts: slow links take their time.
_RESPONSE_TIMEOUT_S = 0.8
_CONTENT_TYPE = ('content-type', 'application/octet-stream')
_MAX_DATAGRAM_BYTES = 60_000
MAX_BODY_BYTES = 4 * 1024
"""Size of the body of a peer's request; a snapshot request has under 100."""

MetricsProvider = Callable[[], tuple[str, bytes]]


class HttpPeerNetwork(peers.PeerNetwork, http_message.RequestHandler):
    """Peer network over a UDP socket and an HTTP server on the same port.

    Attributes:
        malformed_count: messages that could not be decoded or encoded.
        sent_bytes_by_kind: bytes sent, by message type or HTTP path.
        received_bytes_by_kind: bytes received, by message type or HTTP path.
    """

    def __init__(self,
                 *,
                 client: http_client.HttpClient,
                 host: str,
                 port: int,
                 budget: client_budget.ClientBudget | None = None) -> None:
        """Initializes a network that does not listen yet.

        Args:
            client: sends requests to peers.
            host: the IP address to listen on.
            port: the port to listen on.
            budget: what all clients of the process may hold; None for a budget
                of this network's own.
        """
        self._client = client
        self._host = host
        self._port = port
        self._handler_by_type: dict[type[Any], Callable[[Any], None]] = {}
        self._get_snapshot: peers.SnapshotProvider | None = None
        self._get_state: Callable[[], Awaitable[peer_messages.RankState |
                                                None]] | None = None
        self._get_layout: Callable[[], Awaitable[peer_messages.RankLayout |
                                                 None]] | None = None
        self._get_metrics: MetricsProvider | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server = http_server.HttpServer(
            handler=self,
            host=host,
            port=port,
            limits=http_server.ServerLimits(max_body_bytes=MAX_BODY_BYTES),
            budget=budget)
        self.malformed_count = 0
        self.sent_bytes_by_kind: collections.Counter[str] = (
            collections.Counter())
        self.received_bytes_by_kind: collections.Counter[str] = (
            collections.Counter())

    @property
    def address(self) -> str:
        """The address at which peers reach this network."""
        assert self._transport is not None
        host, port = self._transport.get_extra_info('sockname')[:2]
        return f'{host}:{port}'

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        await self._server.__aenter__()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self.receive_datagram),
            local_addr=(self._host, self._port),
            family=socket.AF_INET)
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        if self._transport is not None:
            self._transport.close()
        await self._server.__aexit__(kind, error, trace)

    # Datagrams.

    def set_datagram_handler(self, message_type: type[Any],
                             handler: Callable[[Any], None]) -> None:
        self._handler_by_type[message_type] = handler

    def send_all(self, addresses: Iterable[str], message: Any) -> bool:
        try:
            data = peer_codec.encode_datagram(message)
        except peer_codec.PeerMessageEncodeError:
            self.malformed_count += 1
            return False
        if len(data) > _MAX_DATAGRAM_BYTES:
            return False
        if self._transport is None or self._transport.is_closing():
            return True
        for address in addresses:
            host, _, port = address.rpartition(':')
            self.sent_bytes_by_kind[type(message).__name__] += len(data)
            self._transport.sendto(data, (host, int(port)))
        return True

    def receive_datagram(self, data: bytes) -> None:
        """Decodes a datagram and passes the message to its handler."""
        try:
            message = peer_codec.decode_datagram(data)
        except peer_codec.PeerMessageDecodeError:
            self.malformed_count += 1
            return
        self.received_bytes_by_kind[type(message).__name__] += len(data)
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(message)

    # Requests over HTTP.

    def set_snapshot_provider(self, provider: peers.SnapshotProvider) -> None:
        self._get_snapshot = provider

    def set_rank_state_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankState | None]]) -> None:
        self._get_state = provider

    def set_rank_layout_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankLayout | None]]) -> None:
        self._get_layout = provider

    def set_metrics_provider(self, provider: MetricsProvider) -> None:
        """Sets the source of the metrics page.

        Args:
            provider: returns the content type and the page.
        """
        self._get_metrics = provider

    async def handle(self, request: http_message.HttpRequest,
                     response: http_message.HttpResponse) -> None:
        if request.path == _SNAPSHOT_PATH and self._get_snapshot is not None:
            await self._serve_snapshot(request, response, self._get_snapshot)
        elif request.path == _STATE_PATH and self._get_state is not None:
            await self._send_message(response, await self._get_state())
        elif request.path == _LAYOUT_PATH and self._get_layout is not None:
            await self._send_message(response, await self._get_layout())
        elif request.path == _METRICS_PATH and self._get_metrics is not None:
            content_type, page = self._get_metrics()
            await response.send(200, [('content-type', content_type)], page)
        else:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.NOT_FOUND))

    async def _serve_snapshot(self, request: http_message.HttpRequest,
                              response: http_message.HttpResponse,
                              provider: peers.SnapshotProvider) -> None:
        try:
            known = peer_codec.decode(peer_messages.SnapshotRequest,
                                      request.body)
        except peer_codec.PeerMessageDecodeError:
            self.malformed_count += 1
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.BAD_HEADER))
            return
        await self._send_message(response, provider(known))

    async def _send_message(self, response: http_message.HttpResponse,
                            message: Any) -> None:
        try:
            body = b'' if message is None else peer_codec.encode(message)
        except peer_codec.PeerMessageEncodeError:
            self.malformed_count += 1
            message = None
        if message is None:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.NO_UPSTREAM))
            return
        await response.send(200, [_CONTENT_TYPE], body)

    async def fetch_snapshot(
            self, address: str, known: peer_messages.SnapshotRequest
    ) -> peer_messages.Snapshot | None:
        return await self._request('POST', address, _SNAPSHOT_PATH,
                                   peer_codec.encode(known),
                                   peer_messages.Snapshot)

    async def fetch_rank_state(self,
                               address: str) -> peer_messages.RankState | None:
        return await self._request('GET', address, _STATE_PATH, b'',
                                   peer_messages.RankState)

    async def fetch_rank_layout(
            self, address: str) -> peer_messages.RankLayout | None:
        return await self._request('GET', address, _LAYOUT_PATH, b'',
                                   peer_messages.RankLayout)

    async def _request(self, method: str, address: str, path: str, body: bytes,
                       kind: type[Any]) -> Any:
        if not address:
            return None
        try:
            async with contextlib.AsyncExitStack() as stack:
                async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                    response = await stack.enter_async_context(
                        self._client.request(address, method, path, body=body))
                self.sent_bytes_by_kind[path] += len(body)
                data = await response.read_all(
                    stall_timeout_s=_RESPONSE_TIMEOUT_S)
                self.received_bytes_by_kind[path] += len(data)
                if response.status != 200:
                    return None
                return peer_codec.decode(kind, data)
        except peer_codec.PeerMessageDecodeError:
            self.malformed_count += 1
            return None
        except (OSError, TimeoutError):
            return None


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams on; ignores errors of sending."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        return
