"""Upstreams that an entry host has open links to."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Sequence
from typing import Any

from absl import logging

from pollenthread.core import (admission_control, errors, load_estimate,
                               messages, outlier_detection, prefix_hashing,
                               upstream_selection)
from pollenthread.ports import link as link_port

__all__ = [
    'AttemptStream', 'LinkedUpstream', 'SharedUpstreamState', 'UpstreamGroup',
    'UpstreamPool'
]

_SEAL_TIMEOUT_S = 2.0

_INITIAL_LOAD = admission_control.UpstreamLoad(0, (0, 0, 0), 1, 0.0, 0.0, 0.0)

_OnMessage = Callable[[link_port.Link, Any], None]
_SealReply = asyncio.Future[messages.SealState | None]


class AttemptStream:
    """Messages received for one attempt, in order.

    Attributes:
        deliver_immediately: passes a chunk on without waking the waiting task
            and returns whether it did; None when no relay is attached.
    """

    def __init__(self) -> None:
        self._queue = collections.deque[messages.Message | None]()
        self._ready = asyncio.Event()
        self._waiting = False
        self.deliver_immediately: Callable[[messages.Chunk], bool] | None = None

    def put(self, message: messages.Message | None) -> None:
        """Adds a message; None means that the link is lost.

        A chunk that `deliver_immediately` passes on is not queued and does not
        wake the waiting task.
        """
        if (self._waiting and not self._queue and
                self.deliver_immediately is not None and
                isinstance(message, messages.Chunk) and
                self.deliver_immediately(message)):
            return
        self._queue.append(message)
        self._ready.set()

    async def wait_past_head(self) -> messages.Message | None:
        """Waits for the first message other than a head, without removing it.

        Returns:
            The chunk, end or failure; None for a lost link.
        """
        while True:
            for message in self._queue:
                if not isinstance(message, messages.Head):
                    return message
            self._ready.clear()
            await self._ready.wait()

    async def get_available(self) -> list[messages.Message | None]:
        """Waits for at least one message and removes all that are queued.

        Returns:
            The messages; None in the last place means that the link is lost.
        """
        self._waiting = True
        try:
            while not self._queue:
                self._ready.clear()
                await self._ready.wait()
        finally:
            self._waiting = False
        available = list(self._queue)
        self._queue.clear()
        return available


class LinkedUpstream(upstream_selection.Candidate):
    """One upstream behind an open link.

    Attributes:
        link: the open link to its agent.
        is_leaving: whether its agent has announced its shutdown, or the host
            list reports it.
        load_report: the latest load report, corrected by later rejections.
        streams_by_attempt: attempts in progress, by attempt id.
        seals_by_attempt: pending replies to seal requests, by attempt id.
    """

    def __init__(self, *, link: link_port.Link,
                 shared: 'SharedUpstreamState') -> None:
        self.link = link
        self.is_leaving = False
        self.load_report = load_estimate.UpstreamLoadReport(
            _INITIAL_LOAD, 0, shared.now())
        self.streams_by_attempt: dict[str, AttemptStream] = {}
        self.seals_by_attempt: dict[str, list[_SealReply]] = {}
        self._sent_log = load_estimate.SentAttemptLog()
        self._shared = shared

    @property
    def hello(self) -> messages.Hello:
        """The hello message in which the agent identified itself."""
        return self.link.peer

    @property
    def host(self) -> str:
        return self.hello.host

    @property
    def estimate(self) -> upstream_selection.UpstreamEstimate:
        shared = self._shared
        return upstream_selection.UpstreamEstimate(
            self.load_report.load,
            load_estimate.expected_load(self.load_report,
                                        own=len(self.streams_by_attempt),
                                        mean=shared.mean_load,
                                        now=shared.now()))

    @property
    def is_usable(self) -> bool:
        return (self.link.is_open and not self.is_leaving and
                self.host not in self._shared.draining and
                self.hello.data_centre not in self._shared.emptied_data_centres
                and self._shared.outlier_detector.is_usable(
                    self.host, self._shared.now()))

    def record_sent(self) -> None:
        """Records that an attempt was sent."""
        now = self._shared.now()
        self._sent_log.record_sent(now)
        self._shared.outlier_detector.record_attempt(self.host, now)

    def record_load(self, load: messages.Load) -> None:
        """Records a load report from the agent."""
        made_at = self._sent_log.report_time(load.seen, self._shared.now())
        reported = admission_control.UpstreamLoad(
            running=load.running,
            queued=load.queued,
            limit=load.limit,
            duration_s=load.hold_us / 1e6,
            first_unit_s=load.first_unit_us / 1e6,
            between_tokens_s=load.token_us / 1e6)
        self.load_report = load_estimate.UpstreamLoadReport(
            reported, load.own, made_at)
        self._shared.mean_load.record(self.load_report)

    def record_rejection(self) -> None:
        """Raises the load estimate after a rejection for lack of capacity."""
        self.load_report = load_estimate.report_after_rejection(
            self.load_report,
            own=len(self.streams_by_attempt),
            now=self._shared.now())

    def record_result(self, *, is_success: bool) -> None:
        """Records the result of an attempt that was not rejected."""
        self._shared.outlier_detector.record_result(self.host,
                                                    succeeded=is_success,
                                                    now=self._shared.now())

    def serves(self, kind: str, name: str) -> bool:
        """Whether this upstream serves a model or service.

        Args:
            kind: 'engine' or 'service'.
            name: the model's or service's name.
        """
        if self.hello.kind != kind:
            return False
        if kind == 'engine':
            return name in self.hello.models
        return self.hello.name == name

    def open_stream(self, attempt: str) -> AttemptStream:
        """Starts collecting the messages of an attempt."""
        stream = AttemptStream()
        self.streams_by_attempt[attempt] = stream
        return stream

    def close_stream(self, attempt: str) -> None:
        """Stops collecting the messages of an attempt."""
        self.streams_by_attempt.pop(attempt, None)

    def fail_pending(self) -> None:
        """Reports the loss of the link to all waiting tasks."""
        for stream in self.streams_by_attempt.values():
            stream.put(None)
        for replies in self.seals_by_attempt.values():
            for reply in replies:
                if not reply.done():
                    reply.set_result(None)

    async def seal(self, attempt: str,
                   session: str) -> messages.SealState | None:
        """Asks the agent never to start an attempt that it has not started.

        Args:
            attempt: the attempt's id.
            session: the link session in which the attempt may start.

        Returns:
            The state of the attempt at the agent; None when the link is lost or
            the agent does not reply in time.
        """
        reply: _SealReply = asyncio.get_running_loop().create_future()
        self.seals_by_attempt.setdefault(attempt, []).append(reply)
        try:
            self.link.send(messages.Seal(attempt, session))
            async with asyncio.timeout(_SEAL_TIMEOUT_S):
                return await reply
        except (TimeoutError, link_port.LinkClosedError):
            return None


class SharedUpstreamState:
    """State shared by the upstreams of a pool.

    Attributes:
        mean_load: the mean load that other entry hosts put on an upstream.
        outlier_detector: results of attempts, by host.
        draining: hosts that operators have taken out of service.
        emptied_data_centres: data centres that operators have emptied.
    """

    def __init__(self) -> None:
        self.mean_load = load_estimate.MeanOtherLoad()
        self.outlier_detector = outlier_detection.OutlierDetector()
        self.draining: frozenset[str] = frozenset()
        self.emptied_data_centres: frozenset[str] = frozenset()

    @staticmethod
    def now() -> float:
        """The time of the event loop in seconds."""
        return asyncio.get_running_loop().time()


@dataclasses.dataclass(frozen=True)
class UpstreamGroup:
    """The upstreams of one model or service.

    Attributes:
        tiers: the upstreams of the own data centre, those of the region, and
            all of them; a tier that adds none to the one before is left out.
        ring: assigns prompt prefixes to hosts.
    """

    tiers: tuple[Sequence[LinkedUpstream], ...]
    ring: prefix_hashing.PrefixHashRing


class UpstreamPool(link_port.LinkHandler):
    """The linked upstreams, updated as links open and close.

    Attributes:
        by_host: the upstreams by host name.
        misrouted_count: response messages received out of order.
    """

    def __init__(self, *, data_centre: str = '', region: str = '') -> None:
        self._data_centre = data_centre
        self._region = region
        self._shared = SharedUpstreamState()
        self._group_by_kind_and_name: dict[tuple[str, str], UpstreamGroup] = {}
        self.by_host: dict[str, LinkedUpstream] = {}
        self.misrouted_count = 0
        self._links_changed = asyncio.Event()
        self._handlers_by_type: dict[type[Any], _OnMessage] = {}

    def subscribe(self, message_type: type[Any], handler: _OnMessage) -> None:
        """Sets the handler for a message type that the pool does not handle."""
        self._handlers_by_type[message_type] = handler

    @property
    def draining(self) -> frozenset[str]:
        """Hosts that operators have taken out of service."""
        return self._shared.draining

    @draining.setter
    def draining(self, hosts: frozenset[str]) -> None:
        self._shared.draining = hosts

    @property
    def emptied_data_centres(self) -> frozenset[str]:
        """Data centres whose upstreams get no new work."""
        return self._shared.emptied_data_centres

    @emptied_data_centres.setter
    def emptied_data_centres(self, names: frozenset[str]) -> None:
        self._shared.emptied_data_centres = names

    @property
    def ejected(self) -> list[str]:
        """Hosts that were ejected as unhealthy and get probe requests only."""
        return self._shared.outlier_detector.ejected

    def group(self, kind: str, name: str) -> UpstreamGroup:
        """The upstreams of a model or service; cached until links change."""
        group = self._group_by_kind_and_name.get((kind, name))
        if group is None:
            group = self._build_group(kind, name)
            self._group_by_kind_and_name[kind, name] = group
        return group

    def _build_group(self, kind: str, name: str) -> UpstreamGroup:
        all_upstreams = [
            u for u in self.by_host.values() if u.serves(kind, name)
        ]
        same_data_centre = [
            u for u in all_upstreams if u.hello.data_centre == self._data_centre
        ]
        region = [u for u in all_upstreams if u.hello.region == self._region]
        tiers: list[Sequence[LinkedUpstream]] = []
        for tier in (same_data_centre, region, all_upstreams):
            if tier and (not tiers or len(tier) > len(tiers[-1])):
                tiers.append(tier)
        return UpstreamGroup(
            tuple(tiers),
            prefix_hashing.PrefixHashRing(u.host for u in all_upstreams))

    def has_upstream(self, kind: str, name: str) -> bool:
        """Whether any upstream serves this name, even while it shuts down."""
        return any(u.serves(kind, name) for u in self.by_host.values())

    async def wait_for_link(self, host: str, incarnation: str,
                            timeout_s: float) -> LinkedUpstream | None:
        """Waits for an open link to a host.

        Args:
            host: the host's name.
            incarnation: the expected incarnation of its process.
            timeout_s: the longest wait in seconds.

        Returns:
            The upstream; None on a timeout, or when the host has linked with
            another incarnation.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    upstream = self.by_host.get(host)
                    if upstream is not None and upstream.link.is_open:
                        is_same = upstream.hello.incarnation == incarnation
                        return upstream if is_same else None
                    self._links_changed.clear()
                    await self._links_changed.wait()
        except TimeoutError:
            return None

    def on_open(self, link: link_port.Link) -> None:
        replaced = self.by_host.get(link.peer.host)
        if replaced is not None:
            replaced.fail_pending()
        self.by_host[link.peer.host] = LinkedUpstream(link=link,
                                                      shared=self._shared)
        self._shared.outlier_detector.add(link.peer.host)
        self._group_by_kind_and_name.clear()
        self._links_changed.set()
        logging.info('upstream linked host=%s incarnation=%s', link.peer.host,
                     link.peer.incarnation)

    def on_close(self, link: link_port.Link, reason: str) -> None:
        upstream = self.by_host.get(link.peer.host)
        if upstream is None or upstream.link is not link:
            return
        del self.by_host[link.peer.host]
        self._shared.outlier_detector.remove(link.peer.host)
        self._group_by_kind_and_name.clear()
        self._links_changed.set()
        logging.info('upstream lost host=%s reason=%s', link.peer.host, reason)
        upstream.fail_pending()

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
                for reply in upstream.seals_by_attempt.pop(message.attempt, []):
                    if not reply.done():
                        reply.set_result(message.state)
            case messages.Load():
                upstream.record_load(message)
            case messages.Leaving():
                upstream.is_leaving = True
                logging.info('upstream leaving host=%s', link.peer.host)
            case _:
                handler = self._handlers_by_type.get(type(message))
                if handler is not None:
                    handler(link, message)

    def report_misrouted(self, upstream: LinkedUpstream,
                         detail: str) -> errors.Failure:
        """Counts a chunk received out of order and closes its link.

        Args:
            upstream: where the chunk came from.
            detail: the expected and the received position.

        Returns:
            The failure of the attempt.
        """
        self.misrouted_count += 1
        upstream.link.close(f'response misrouted: {detail}')
        return errors.make_failure(errors.ErrorKind.UPSTREAM_MISROUTED, detail)
