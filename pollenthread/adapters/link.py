"""Links over TCP, with length-prefixed messages and pings in both directions.

A link on which nothing is received for too long is closed, and the dialing side
opens a new connection. Data that arrives later on the old one is ignored.
"""

import asyncio
import contextlib
import dataclasses
import struct
import types
from collections.abc import Callable, Mapping
from typing import Self

from absl import logging

from pollenthread.adapters import link_tls, wire
from pollenthread.core import messages
from pollenthread.ports import link as link_port

__all__ = ['Dialer', 'DialerSet', 'LinkServer', 'LinkTimeouts', 'TcpLink']

_LENGTH = struct.Struct('>I')
_MAX_FRAME_BYTES = 4 * 1024 * 1024
_HIGH_WATER_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class LinkTimeouts:
    """Intervals and timeouts of links, in seconds.

    Attributes:
        ping_interval_s: time between the pings that each side sends.
        receive_timeout_s: time without received data after which a link is
            closed.
        hello_timeout_s: time limit for connecting and for the peer's hello
            message.
        reconnect_min_s: delay before the first attempt to reconnect.
        reconnect_max_s: upper limit of the delay, which doubles with each
            failed attempt.
    """

    ping_interval_s: float = 1.0
    receive_timeout_s: float = 2.5
    hello_timeout_s: float = 2.0
    reconnect_min_s: float = 0.1
    reconnect_max_s: float = 2.0


class TcpLink(asyncio.Protocol, link_port.Link):
    """One end of a link over TCP."""

    def __init__(self, *, hello: messages.Hello, handler: link_port.LinkHandler,
                 is_accepted: bool, timeouts: LinkTimeouts,
                 config_version: Callable[[], int]) -> None:
        self._hello = hello
        self._handler = handler
        self._is_accepted = is_accepted
        self._timeouts = timeouts
        self._config_version = config_version
        self._transport: asyncio.Transport | None = None
        self._incomplete_frame = b''
        self._send_queue: list[bytes] = []
        self._queued_bytes = 0
        self._peer: messages.Hello | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = asyncio.get_running_loop().create_future()
        self._close_reason = 'the connection was closed'
        self._received_at = 0.0
        self._ping_seq = 0
        self._next_ping_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def peer(self) -> messages.Hello:
        assert self._peer is not None
        return self._peer

    @property
    def session_id(self) -> str:
        return self._hello.session if self._is_accepted else self.peer.session

    @property
    def is_open(self) -> bool:
        return (self._peer is not None and self._transport is not None and
                not self._transport.is_closing())

    def send(self, message: messages.Message) -> None:
        if self._transport is None or self._transport.is_closing():
            raise link_port.LinkClosedError(self._close_reason)
        data = wire.encode(message)
        if not self._send_queue:
            asyncio.get_running_loop().call_soon(self._flush)
        self._send_queue.append(_LENGTH.pack(len(data)))
        self._send_queue.append(data)
        self._queued_bytes += len(data)
        if self._queued_bytes > _HIGH_WATER_BYTES:
            self._flush()

    def _flush(self) -> None:
        """Writes all queued messages at once, to save system calls."""
        if not self._send_queue or self._transport is None:
            return
        data = b''.join(self._send_queue)
        self._send_queue.clear()
        self._queued_bytes = 0
        if not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        await self._writable.wait()

    def close(self, reason: str) -> None:
        self._close_reason = reason
        if self._transport is not None:
            self._flush()
            self._transport.abort()

    async def wait_closed(self) -> None:
        """Waits until the connection is closed."""
        await asyncio.shield(self._closed)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        loop = asyncio.get_running_loop()
        self._received_at = loop.time()
        self._timer = loop.call_later(self._timeouts.hello_timeout_s,
                                      self._check_hello)
        if not self._is_accepted:
            self.send(self._hello)

    def data_received(self, data: bytes) -> None:
        self._received_at = asyncio.get_running_loop().time()
        if self._incomplete_frame:
            data = self._incomplete_frame + data
        try:
            consumed = self._handle_frames(data)
        except wire.LinkMessageDecodeError as error:
            self.close(f'malformed message: {error}')
            return
        self._incomplete_frame = data[consumed:]

    def _handle_frames(self, data: bytes) -> int:
        """Handles all complete frames.

        Returns:
            The number of bytes consumed.
        """
        start = 0
        assert self._transport is not None
        while len(data) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(data, start)
            if size > _MAX_FRAME_BYTES:
                raise wire.LinkMessageDecodeError(
                    f'frame of {size} bytes exceeds the size limit')
            end = start + _LENGTH.size + size
            if len(data) < end:
                break
            self._receive(wire.decode(data[start + _LENGTH.size:end]))
            if self._transport.is_closing():
                return len(data)
            start = end
        return start

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._writable.set()
        if not self._closed.done():
            self._closed.set_result(None)
        if self._peer is not None:
            self._handler.on_close(self, self._close_reason)

    def _receive(self, message: messages.Message) -> None:
        if isinstance(message, messages.Ping):
            self.send(messages.Pong(message.seq, self._config_version()))
            self._handler.on_message(self, message)
        elif isinstance(message, messages.Hello):
            self._handle_hello(message)
        elif self._peer is None:
            self.close('the peer sent another message before its hello')
        else:
            self._handler.on_message(self, message)

    def _handle_hello(self, hello: messages.Hello) -> None:
        if self._peer is not None:
            self.close('the peer sent a second hello')
            return
        if not self._is_certified(hello.host):
            self.close(
                f'the peer certificate is not valid for host {hello.host}')
            return
        self._peer = hello
        if self._is_accepted:
            self.send(self._hello)
        self._schedule_ping()
        self._handler.on_open(self)

    def _is_certified(self, host: str) -> bool:
        """Whether TLS is off or the peer certificate is valid for `host`."""
        assert self._transport is not None
        if self._transport.get_extra_info('ssl_object') is None:
            return True
        certificate = self._transport.get_extra_info('peercert')
        return link_tls.certificate_names_host(certificate, host)

    def _check_hello(self) -> None:
        if self._peer is None:
            self.close('the peer sent no hello in time')

    def _schedule_ping(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._next_ping_at = loop.time() + self._timeouts.ping_interval_s
        self._timer = loop.call_at(self._next_ping_at, self._send_ping)

    def _send_ping(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._next_ping_at > self._timeouts.ping_interval_s:
            # The timer fired late because this process was paused. The pause
            # does not count as time without data from the peer.
            self._received_at = now
        idle_s = now - self._received_at
        if idle_s > self._timeouts.receive_timeout_s:
            self.close(f'received nothing for {idle_s:.1f} s')
            return
        self._ping_seq += 1
        with contextlib.suppress(link_port.LinkClosedError):
            self.send(messages.Ping(self._ping_seq, self._config_version()))
        self._schedule_ping()


def _zero_version() -> int:
    return 0


class LinkServer:
    """Accepts links and assigns their session ids."""

    def __init__(self,
                 *,
                 hello: messages.Hello,
                 handler: link_port.LinkHandler,
                 host: str = '127.0.0.1',
                 port: int = 0,
                 timeouts: LinkTimeouts = LinkTimeouts(),
                 config_version: Callable[[], int] = _zero_version,
                 tls: link_tls.LinkTls | None = None) -> None:
        self._hello = hello
        self._handler = handler
        self._host = host
        self._port = port
        self._timeouts = timeouts
        self._config_version = config_version
        self._tls = tls
        self._session_count = 0
        self._server: asyncio.Server | None = None
        self._links: list[TcpLink] = []

    @property
    def address(self) -> str:
        """The bound `ip:port`."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            self._host,
            self._port,
            ssl=None if self._tls is None else self._tls.server_context)
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        assert self._server is not None
        self._server.close()
        for link in self._links:
            link.close('the process is stopping')

    def _accept(self) -> TcpLink:
        self._session_count += 1
        session = f'{self._hello.incarnation}:{self._session_count}'
        link = TcpLink(hello=dataclasses.replace(self._hello, session=session),
                       handler=self._handler,
                       is_accepted=True,
                       timeouts=self._timeouts,
                       config_version=self._config_version)
        self._links = [old for old in self._links if old.is_open]
        self._links.append(link)
        return link


class DialerSet:
    """Maintains one dialer, and thereby one link, for each of several hosts."""

    def __init__(self,
                 *,
                 hello: messages.Hello,
                 handler: link_port.LinkHandler,
                 timeouts: LinkTimeouts = LinkTimeouts(),
                 config_version: Callable[[], int] = _zero_version,
                 tls: link_tls.LinkTls | None = None) -> None:
        self._hello = hello
        self._handler = handler
        self._timeouts = timeouts
        self._config_version = config_version
        self._tls = tls
        self._by_host: dict[str, Dialer] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        await self.set_addresses({})

    async def set_addresses(self, address_by_host: Mapping[str, str]) -> None:
        """Starts and stops dialers to match a set of hosts.

        Args:
            address_by_host: `ip:port` of each host that needs a link. A dialer
                whose address differs is replaced.
        """
        for host, dialer in list(self._by_host.items()):
            if address_by_host.get(host) != dialer.address:
                del self._by_host[host]
                await dialer.stop()
        for host, address in address_by_host.items():
            if host not in self._by_host:
                self._by_host[host] = self._start(address)

    def _start(self, address: str) -> 'Dialer':
        dialer = Dialer(address=address,
                        hello=self._hello,
                        handler=self._handler,
                        timeouts=self._timeouts,
                        config_version=self._config_version,
                        tls=self._tls)
        dialer.start()
        return dialer


class Dialer:
    """Maintains a link to one address; reconnects when the link closes."""

    def __init__(self,
                 *,
                 address: str,
                 hello: messages.Hello,
                 handler: link_port.LinkHandler,
                 timeouts: LinkTimeouts = LinkTimeouts(),
                 config_version: Callable[[], int] = _zero_version,
                 tls: link_tls.LinkTls | None = None) -> None:
        self._address = address
        self._hello = hello
        self._handler = handler
        self._timeouts = timeouts
        self._config_version = config_version
        self._tls = tls
        self._task: asyncio.Task[None] | None = None
        self._link: TcpLink | None = None

    @property
    def address(self) -> str:
        """The `ip:port` to connect to."""
        return self._address

    def start(self) -> None:
        """Starts connecting in the background."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops connecting and closes the link."""
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._link is not None:
            self._link.close('the link is no longer needed')

    async def _run(self) -> None:
        delay_s = self._timeouts.reconnect_min_s
        while True:
            try:
                async with asyncio.timeout(self._timeouts.hello_timeout_s):
                    self._link = await self._connect()
                await self._link.wait_closed()
                delay_s = self._timeouts.reconnect_min_s
            except (OSError, TimeoutError) as error:
                logging.debug('connecting to %s failed: %s', self._address,
                              error)
                delay_s = min(delay_s * 2, self._timeouts.reconnect_max_s)
            await asyncio.sleep(delay_s)

    async def _connect(self) -> TcpLink:
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(
            lambda: TcpLink(hello=self._hello,
                            handler=self._handler,
                            is_accepted=False,
                            timeouts=self._timeouts,
                            config_version=self._config_version),
            host,
            int(port),
            ssl=None if self._tls is None else self._tls.client_context)
        return link
