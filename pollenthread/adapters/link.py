"""Links over TCP: length-framed messages, pings both ways.

A link that stays silent for too long is dead. It is closed and a new
connection is opened; nothing that comes on the old one is read any more.
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
    """When a link is asked for life and when it is given up."""

    ping_interval_s: float = 1.0
    receive_timeout_s: float = 2.5
    hello_timeout_s: float = 2.0
    reconnect_min_s: float = 0.1
    reconnect_max_s: float = 2.0


class TcpLink(asyncio.Protocol, link_port.Link):
    """One end of a link."""

    def __init__(self, *, hello: messages.Hello, handler: link_port.LinkHandler,
                 accepted: bool, times: LinkTimeouts,
                 config_version: Callable[[], int]) -> None:
        self._hello = hello
        self._handler = handler
        self._accepted = accepted
        self._times = times
        self._config_version = config_version
        self._transport: asyncio.Transport | None = None
        self._buffer = b''
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._peer: messages.Hello | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = asyncio.get_running_loop().create_future()
        self._close_reason = 'the connection was closed'
        self._heard_at = 0.0
        self._ping_seq = 0
        self._ping_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def peer(self) -> messages.Hello:
        assert self._peer is not None
        return self._peer

    @property
    def session_id(self) -> str:
        return self._hello.session if self._accepted else self.peer.session

    @property
    def is_open(self) -> bool:
        return (self._peer is not None and self._transport is not None and
                not self._transport.is_closing())

    def send(self, message: messages.Message) -> None:
        if self._transport is None or self._transport.is_closing():
            raise link_port.LinkClosedError(self._close_reason)
        data = wire.encode(message)
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(_LENGTH.pack(len(data)))
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        if self._unsent_bytes > _HIGH_WATER_BYTES:
            self._flush()

    def _flush(self) -> None:
        """Writes what was sent since the loop's last turn in one go."""
        if not self._unsent or self._transport is None:
            return
        data = b''.join(self._unsent)
        self._unsent.clear()
        self._unsent_bytes = 0
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
        """Waits until the connection is gone."""
        await asyncio.shield(self._closed)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        loop = asyncio.get_running_loop()
        self._heard_at = loop.time()
        self._timer = loop.call_later(self._times.hello_timeout_s,
                                      self._check_hello)
        if not self._accepted:
            self.send(self._hello)

    def data_received(self, data: bytes) -> None:
        self._heard_at = asyncio.get_running_loop().time()
        if self._buffer:
            data = self._buffer + data
        try:
            taken = self._take_frames(data)
        except wire.LinkMessageDecodeError as error:
            self.close(f'malformed message: {error}')
            return
        self._buffer = data[taken:]

    def _take_frames(self, data: bytes) -> int:
        """Handles whole frames; how many bytes they took."""
        start = 0
        assert self._transport is not None
        while len(data) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(data, start)
            if size > _MAX_FRAME_BYTES:
                raise wire.LinkMessageDecodeError(f'a frame of {size} bytes')
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
            self._greet(message)
        elif self._peer is None:
            self.close('the peer did not greet')
        else:
            self._handler.on_message(self, message)

    def _greet(self, hello: messages.Hello) -> None:
        if self._peer is not None:
            self.close('the peer greeted twice')
            return
        if not self._is_proved(hello.host):
            self.close(f'the certificate does not name {hello.host}')
            return
        self._peer = hello
        if self._accepted:
            self.send(self._hello)
        self._schedule_ping()
        self._handler.on_open(self)

    def _is_proved(self, host: str) -> bool:
        """Whether the peer is who it says, as far as the link can tell."""
        assert self._transport is not None
        if self._transport.get_extra_info('ssl_object') is None:
            return True
        certificate = self._transport.get_extra_info('peercert')
        return link_tls.certificate_names_host(certificate, host)

    def _check_hello(self) -> None:
        if self._peer is None:
            self.close('the peer did not greet in time')

    def _schedule_ping(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._ping_at = loop.time() + self._times.ping_interval_s
        self._timer = loop.call_at(self._ping_at, self._ping)

    def _ping(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._ping_at > self._times.ping_interval_s:
            # This process was paused: the silence is its own.
            self._heard_at = now
        silent_s = now - self._heard_at
        if silent_s > self._times.receive_timeout_s:
            self.close(f'silent for {silent_s:.1f} s')
            return
        self._ping_seq += 1
        with contextlib.suppress(link_port.LinkClosedError):
            self.send(messages.Ping(self._ping_seq, self._config_version()))
        self._schedule_ping()


def _no_version() -> int:
    return 0


class LinkServer:
    """Accepts links and names their sessions."""

    def __init__(self,
                 *,
                 hello: messages.Hello,
                 handler: link_port.LinkHandler,
                 host: str = '127.0.0.1',
                 port: int = 0,
                 times: LinkTimeouts = LinkTimeouts(),
                 config_version: Callable[[], int] = _no_version,
                 tls: link_tls.LinkTls | None = None) -> None:
        self._hello = hello
        self._handler = handler
        self._host = host
        self._port = port
        self._times = times
        self._config_version = config_version
        self._tls = tls
        self._sessions = 0
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
            link.close('the process stopped')

    def _accept(self) -> TcpLink:
        self._sessions += 1
        session = f'{self._hello.incarnation}:{self._sessions}'
        link = TcpLink(hello=dataclasses.replace(self._hello, session=session),
                       handler=self._handler,
                       accepted=True,
                       times=self._times,
                       config_version=self._config_version)
        self._links = [old for old in self._links if old.is_open]
        self._links.append(link)
        return link


class DialerSet:
    """Keeps one dialer for each wanted host; owns them."""

    def __init__(self,
                 *,
                 hello: messages.Hello,
                 handler: link_port.LinkHandler,
                 times: LinkTimeouts = LinkTimeouts(),
                 config_version: Callable[[], int] = _no_version,
                 tls: link_tls.LinkTls | None = None) -> None:
        self._hello = hello
        self._handler = handler
        self._times = times
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
        """Dials what is new or has moved; drops what is not wanted."""
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
                        times=self._times,
                        config_version=self._config_version,
                        tls=self._tls)
        dialer.start()
        return dialer


class Dialer:
    """Keeps a link to one address: opens a new one when it is lost."""

    def __init__(self,
                 *,
                 address: str,
                 hello: messages.Hello,
                 handler: link_port.LinkHandler,
                 times: LinkTimeouts = LinkTimeouts(),
                 config_version: Callable[[], int] = _no_version,
                 tls: link_tls.LinkTls | None = None) -> None:
        self._address = address
        self._hello = hello
        self._handler = handler
        self._times = times
        self._config_version = config_version
        self._tls = tls
        self._task: asyncio.Task[None] | None = None
        self._link: TcpLink | None = None

    @property
    def address(self) -> str:
        """The address that is dialed."""
        return self._address

    def start(self) -> None:
        """Begins to dial."""
        self._task = asyncio.create_task(self._keep())

    async def stop(self) -> None:
        """Closes the link and dials no more."""
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._link is not None:
            self._link.close('the link is no longer wanted')

    async def _keep(self) -> None:
        pause_s = self._times.reconnect_min_s
        while True:
            try:
                async with asyncio.timeout(self._times.hello_timeout_s):
                    self._link = await self._dial()
                await self._link.wait_closed()
                pause_s = self._times.reconnect_min_s
            except (OSError, TimeoutError) as error:
                logging.debug('dialing %s: %s', self._address, error)
                pause_s = min(pause_s * 2, self._times.reconnect_max_s)
            await asyncio.sleep(pause_s)

    async def _dial(self) -> TcpLink:
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(
            lambda: TcpLink(hello=self._hello,
                            handler=self._handler,
                            accepted=False,
                            times=self._times,
                            config_version=self._config_version),
            host,
            int(port),
            ssl=None if self._tls is None else self._tls.client_context)
        return link
