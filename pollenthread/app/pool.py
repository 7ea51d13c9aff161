"""The upstreams that an entry host has links to."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Any

from absl import logging

from pollenthread.core import choice, errors, messages
from pollenthread.ports import link as link_port

__all__ = ['AttemptStream', 'Pool', 'Upstream']

_SEAL_TIMEOUT_S = 2.0

_OnMessage = Callable[[link_port.Link, Any], None]
_SealAnswer = asyncio.Future[messages.SealState | None]


class AttemptStream:
    """The messages that come for one attempt, in order."""

    def __init__(self) -> None:
        self._queue = collections.deque[messages.Message | None]()
        self._ready = asyncio.Event()
        self._waiting = False
        self.take_at_once: Callable[[messages.Chunk], bool] | None = None

    def put(self, message: messages.Message | None) -> None:
        """Adds a message; None says that the link is lost.

        A part of an answer that can be passed on at once does not wake the
        task that waits.
        """
        if (self._waiting and not self._queue and
                self.take_at_once is not None and
                isinstance(message, messages.Chunk) and
                self.take_at_once(message)):
            return
        self._queue.append(message)
        self._ready.set()

    async def get_burst(self) -> list[messages.Message | None]:
        """Takes all messages that have come, at least one.

        A last message of None says that the link is lost.
        """
        self._waiting = True
        try:
            while not self._queue:
                self._ready.clear()
                await self._ready.wait()
        finally:
            self._waiting = False
        burst = list(self._queue)
        self._queue.clear()
        return burst


@dataclasses.dataclass
class Upstream:
    """One upstream behind an open link."""

    link: link_port.Link
    load: messages.Load
    sent_since: int = 0
    leaving: bool = False
    streams_by_attempt: dict[str, AttemptStream] = dataclasses.field(
        default_factory=dict)
    seals_by_attempt: dict[str, list[_SealAnswer]] = dataclasses.field(
        default_factory=dict)

    @property
    def hello(self) -> messages.Hello:
        """What the agent said of itself."""
        return self.link.peer

    @property
    def view(self) -> choice.UpstreamView:
        """What the choice needs to know."""
        return choice.UpstreamView(host=self.hello.host,
                                   reported=self.load.running +
                                   self.load.queued,
                                   sent_since=self.sent_since)

    def serves(self, kind: str, name: str) -> bool:
        """Whether it holds the model, or is the service, of this name."""
        if self.hello.kind != kind:
            return False
        if kind == 'engine':
            return name in self.hello.models
        return self.hello.name == name

    def open(self, attempt: str) -> AttemptStream:
        """Starts to collect an attempt's messages."""
        stream = AttemptStream()
        self.streams_by_attempt[attempt] = stream
        return stream

    def close(self, attempt: str) -> None:
        """Stops collecting an attempt's messages."""
        self.streams_by_attempt.pop(attempt, None)

    def lose(self) -> None:
        """Tells all who wait that the link is gone."""
        for stream in self.streams_by_attempt.values():
            stream.put(None)
        for answers in self.seals_by_attempt.values():
            for answer in answers:
                if not answer.done():
                    answer.set_result(None)

    async def seal(self, attempt: str,
                   session: str) -> messages.SealState | None:
        """Asks the agent never to begin an attempt; None when it is silent."""
        answer: _SealAnswer = asyncio.get_running_loop().create_future()
        self.seals_by_attempt.setdefault(attempt, []).append(answer)
        try:
            self.link.send(messages.Seal(attempt, session))
            async with asyncio.timeout(_SEAL_TIMEOUT_S):
                return await answer
        except (TimeoutError, link_port.LinkLost):
            return None


class Pool(link_port.LinkHandler):
    """Upstreams by host, kept current by their links."""

    def __init__(self) -> None:
        self.by_host: dict[str, Upstream] = {}
        self.draining: frozenset[str] = frozenset()
        self.misrouted_count = 0
        self._changed = asyncio.Event()
        self._handlers_by_type: dict[type[Any], _OnMessage] = {}
        self.on_unconfirmed: Callable[[Upstream, messages.Unconfirmed],
                                      None] | None = None

    def subscribe(self, message_type: type[Any], handler: _OnMessage) -> None:
        """Sets who handles messages of a type that the pool does not."""
        self._handlers_by_type[message_type] = handler

    def candidates(self, kind: str, name: str) -> list[Upstream]:
        """Upstreams that can take new work for a model or service."""
        return [
            upstream for upstream in self.by_host.values()
            if upstream.serves(kind, name) and not upstream.leaving and
            upstream.hello.host not in self.draining and upstream.link.is_open
        ]

    def knows(self, kind: str, name: str) -> bool:
        """Whether any upstream, leaving or not, serves this name."""
        return any(u.serves(kind, name) for u in self.by_host.values())

    async def wait_for(self, host: str, incarnation: str,
                       timeout_s: float) -> Upstream | None:
        """Waits until a host is linked again in the same incarnation."""
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    upstream = self.by_host.get(host)
                    if upstream is not None and upstream.link.is_open:
                        same = upstream.hello.incarnation == incarnation
                        return upstream if same else None
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return None

    def on_open(self, link: link_port.Link) -> None:
        old = self.by_host.get(link.peer.host)
        if old is not None:
            old.lose()
        self.by_host[link.peer.host] = Upstream(link=link,
                                                load=messages.Load(0, 0, 0, 0))
        self._changed.set()
        logging.info('upstream linked host=%s incarnation=%s', link.peer.host,
                     link.peer.incarnation)

    def on_close(self, link: link_port.Link, reason: str) -> None:
        upstream = self.by_host.get(link.peer.host)
        if upstream is None or upstream.link is not link:
            return
        del self.by_host[link.peer.host]
        self._changed.set()
        logging.info('upstream lost host=%s reason=%s', link.peer.host, reason)
        upstream.lose()

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        upstream = self.by_host.get(link.peer.host)
        if upstream is None or upstream.link is not link:
            return
        match message:
            case (messages.Head() | messages.Chunk() | messages.End() |
                  messages.Fail()):
                stream = upstream.streams_by_attempt.get(message.attempt)
                if stream is not None:
                    stream.put(message)
            case messages.Sealed():
                for answer in upstream.seals_by_attempt.pop(
                        message.attempt, []):
                    if not answer.done():
                        answer.set_result(message.state)
            case messages.Load():
                upstream.load = message
                upstream.sent_since = 0
            case messages.Leaving():
                upstream.leaving = True
                logging.info('upstream leaving host=%s', link.peer.host)
            case _:
                handler = self._handlers_by_type.get(type(message))
                if handler is not None:
                    handler(link, message)

    def misrouted(self, upstream: Upstream, detail: str) -> errors.Failure:
        """Counts an answer out of order and distrusts its link."""
        self.misrouted_count += 1
        upstream.link.close(f'answer misrouted: {detail}')
        return errors.failure(errors.Kind.UPSTREAM_MISROUTED, detail)
