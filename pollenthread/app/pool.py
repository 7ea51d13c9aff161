"""The upstreams that an entry host has links to."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Sequence
from typing import Any

from absl import logging

from pollenthread.core import (affinity, choice, errors, estimate, health,
                               messages, slots)
from pollenthread.ports import link as link_port

__all__ = ['AttemptStream', 'Group', 'Pool', 'Shared', 'Upstream']

_SEAL_TIMEOUT_S = 2.0

_NOTHING_KNOWN = slots.Reading(0, (0, 0, 0), 1, 0.0, 0.0, 0.0)

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

    async def wait_for_part(self) -> messages.Message | None:
        """Waits for more than a head, which stays in the queue.

        Returns:
            The part of the answer, or the failure; None for a lost link.
        """
        while True:
            for message in self._queue:
                if not isinstance(message, messages.Head):
                    return message
            self._ready.clear()
            await self._ready.wait()

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


class Upstream(choice.Candidate):
    """One upstream behind an open link."""

    def __init__(self, *, link: link_port.Link, shared: 'Shared') -> None:
        self.link = link
        self.leaving = False
        self.report = estimate.Report(_NOTHING_KNOWN, 0, shared.now())
        self.streams_by_attempt: dict[str, AttemptStream] = {}
        self.seals_by_attempt: dict[str, list[_SealAnswer]] = {}
        self._sent = estimate.SentLog()
        self._shared = shared

    @property
    def hello(self) -> messages.Hello:
        """What the agent said of itself."""
        return self.link.peer

    @property
    def host(self) -> str:
        return self.hello.host

    @property
    def view(self) -> choice.View:
        shared = self._shared
        return choice.View(
            self.report.reading,
            estimate.expected_load(self.report,
                                   own=len(self.streams_by_attempt),
                                   mean=shared.others,
                                   now=shared.now()))

    @property
    def is_usable(self) -> bool:
        return (self.link.is_open and not self.leaving and
                self.host not in self._shared.draining and
                self._shared.health.is_usable(self.host, self._shared.now()))

    def note_sent(self) -> None:
        """Counts an attempt that was handed over."""
        now = self._shared.now()
        self._sent.note(now)
        self._shared.health.note_sent(self.host, now)

    def note_load(self, load: messages.Load) -> None:
        """Takes a load report."""
        made_at = self._sent.made_at(load.seen, self._shared.now())
        reading = slots.Reading(running=load.running,
                                queued=load.queued,
                                limit=load.limit,
                                hold_s=load.hold_us / 1e6,
                                first_s=load.first_unit_us / 1e6,
                                token_s=load.token_us / 1e6)
        self.report = estimate.Report(reading, load.own, made_at)
        self._shared.others.learn(self.report)

    def note_refusal(self) -> None:
        """Learns from a refusal for want of room."""
        self.report = estimate.after_refusal(self.report,
                                             own=len(self.streams_by_attempt),
                                             now=self._shared.now())

    def note_answer(self, *, good: bool) -> None:
        """Takes the end of an attempt that was not refused."""
        self._shared.health.note_answer(self.host,
                                        good=good,
                                        now=self._shared.now())

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
        except (TimeoutError, link_port.LinkClosedError):
            return None


class Shared:
    """What the upstreams of a pool have in common."""

    def __init__(self) -> None:
        self.others = estimate.OthersMean()
        self.health = health.HealthBook()
        self.draining: frozenset[str] = frozenset()

    @staticmethod
    def now() -> float:
        """Seconds of the event loop."""
        return asyncio.get_running_loop().time()


@dataclasses.dataclass(frozen=True)
class Group:
    """The upstreams of one model or service.

    Attributes:
        tiers: from those of the own data centre, over the region, to all.
        ring: where prompts' prefixes belong.
    """

    tiers: tuple[Sequence[Upstream], ...]
    ring: affinity.PrefixRing


class Pool(link_port.LinkHandler):
    """Upstreams by host, kept current by their links."""

    def __init__(self, *, data_centre: str = '', region: str = '') -> None:
        self._data_centre = data_centre
        self._region = region
        self._shared = Shared()
        self._group_by_name: dict[tuple[str, str], Group] = {}
        self.by_host: dict[str, Upstream] = {}
        self.misrouted_count = 0
        self._changed = asyncio.Event()
        self._handlers_by_type: dict[type[Any], _OnMessage] = {}

    def subscribe(self, message_type: type[Any], handler: _OnMessage) -> None:
        """Sets who handles messages of a type that the pool does not."""
        self._handlers_by_type[message_type] = handler

    @property
    def draining(self) -> frozenset[str]:
        """Hosts that operators have taken out of service."""
        return self._shared.draining

    @draining.setter
    def draining(self, hosts: frozenset[str]) -> None:
        self._shared.draining = hosts

    @property
    def ejected(self) -> list[str]:
        """Hosts that take no work but probes."""
        return self._shared.health.ejected

    def group(self, kind: str, name: str) -> Group:
        """The upstreams of a model or service; kept until they change."""
        group = self._group_by_name.get((kind, name))
        if group is None:
            group = self._make_group(kind, name)
            self._group_by_name[kind, name] = group
        return group

    def _make_group(self, kind: str, name: str) -> Group:
        everywhere = [u for u in self.by_host.values() if u.serves(kind, name)]
        near = [
            u for u in everywhere if u.hello.data_centre == self._data_centre
        ]
        region = [u for u in everywhere if u.hello.region == self._region]
        tiers: list[Sequence[Upstream]] = []
        for tier in (near, region, everywhere):
            if tier and (not tiers or len(tier) > len(tiers[-1])):
                tiers.append(tier)
        return Group(tuple(tiers),
                     affinity.PrefixRing(u.host for u in everywhere))

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
        self.by_host[link.peer.host] = Upstream(link=link, shared=self._shared)
        self._shared.health.add(link.peer.host)
        self._group_by_name.clear()
        self._changed.set()
        logging.info('upstream linked host=%s incarnation=%s', link.peer.host,
                     link.peer.incarnation)

    def on_close(self, link: link_port.Link, reason: str) -> None:
        upstream = self.by_host.get(link.peer.host)
        if upstream is None or upstream.link is not link:
            return
        del self.by_host[link.peer.host]
        self._shared.health.remove(link.peer.host)
        self._group_by_name.clear()
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
                  messages.Fail() | messages.Served()):
                stream = upstream.streams_by_attempt.get(message.attempt)
                if stream is not None:
                    stream.put(message)
            case messages.Sealed():
                for answer in upstream.seals_by_attempt.pop(
                        message.attempt, []):
                    if not answer.done():
                        answer.set_result(message.state)
            case messages.Load():
                upstream.note_load(message)
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
