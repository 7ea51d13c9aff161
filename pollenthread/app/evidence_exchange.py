"""Shares evidence of poison requests between entry hosts.

An observation goes to all entry hosts at once, since each of them may send the
next request with the same part. What is lost on the way, and what a restarted
host does not know, is repeated to a few random hosts at a time, so that the
cost for a host does not grow with their number.
"""

import asyncio
import random
from collections.abc import Iterable

from pollenthread.app import entry_liveness, evidence_log
from pollenthread.core import crash_evidence, host_record, peer_messages
from pollenthread.ports import clock, peers

__all__ = ['EvidenceExchange']

_REPEAT_INTERVAL_S = 1.0
_QUESTION_INTERVAL_S = 0.4
# Time after its start for which a host asks for what it has missed.
_QUESTIONS_FOR_S = 3.0
_RECEIVERS = 2
# Several hosts may know the same; the first one to tell it spares the others.
_MAX_ANSWER_DELAY_S = 0.03
_MAX_CRASHES_PER_MESSAGE = 6
_MS_PER_S = 1000


class EvidenceExchange:
    """Sends and receives the evidence of an entry host."""

    def __init__(self, *, own: host_record.HostRecord,
                 liveness: entry_liveness.EntryLiveness,
                 network: peers.PeerNetwork, evidence: evidence_log.EvidenceLog,
                 time: clock.Clock, rng: random.Random) -> None:
        self._own = own
        self._liveness = liveness
        self._network = network
        self._evidence = evidence
        self._clock = time
        self._rng = rng
        self._parts_to_clear: set[str] = set()
        self._news = asyncio.Event()
        network.set_datagram_handler(peer_messages.CrashNews, self._on_news)
        evidence.observed_callbacks.append(self._on_observation)

    async def run(self) -> None:
        """Sends what other hosts may not know, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._repeat())
            group.create_task(self._tell_cleared_parts())

    async def _repeat(self) -> None:
        questions_until = self._clock.monotonic() + _QUESTIONS_FOR_S
        while True:
            now = self._clock.monotonic()
            is_new = now < questions_until
            self._evidence.known.expire(now)
            suspicions = self._evidence.known.suspicion_by_part()
            servers = {
                server for suspicion in suspicions.values()
                for server in suspicion.suspects_by_server
            }
            if servers or is_new:
                self._send(self._sample(), servers, wants_reply=is_new)
            interval_s = _QUESTION_INTERVAL_S if is_new else _REPEAT_INTERVAL_S
            await self._clock.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    async def _tell_cleared_parts(self) -> None:
        while True:
            await self._news.wait()
            await self._clock.sleep(self._rng.uniform(0, _MAX_ANSWER_DELAY_S))
            self._news.clear()
            parts, self._parts_to_clear = self._parts_to_clear, set()
            if parts:
                self._send(self._others(), cleared_parts=parts)

    def _on_observation(self, observation: evidence_log.Observation) -> None:
        self._send(self._others(), observation.crashed_servers,
                   observation.cleared_parts)

    def _others(self) -> list[str]:
        return [r.peer_address for r in self._liveness.other_records()]

    def _sample(self) -> list[str]:
        others = self._others()
        return self._rng.sample(others, min(_RECEIVERS, len(others)))

    def _send(self,
              addresses: Iterable[str],
              servers: Iterable[str] = (),
              cleared_parts: Iterable[str] = (),
              *,
              wants_reply: bool = False) -> None:
        evidence = self._evidence.known
        now = self._clock.monotonic()
        crashes = [
            evidence.crash_by_server[server]
            for server in servers
            if server in evidence.crash_by_server
        ]
        if len(crashes) > _MAX_CRASHES_PER_MESSAGE:
            crashes = self._rng.sample(crashes, _MAX_CRASHES_PER_MESSAGE)
        parts = set(cleared_parts).union(*map(_leading_parts, crashes))
        news = peer_messages.CrashNews(
            crashes=tuple(_to_record(crash, now) for crash in crashes),
            cleared=tuple(
                peer_messages.ClearedPart(part, _age_ms(at, now))
                for part in sorted(parts)
                if (at := evidence.cleared_at(part)) is not None),
            reply_to=self._own.peer_address if wants_reply else '')
        self._network.send_all(addresses, news)

    def _on_news(self, news: peer_messages.CrashNews) -> None:
        now = self._clock.monotonic()
        for cleared in news.cleared:
            self._parts_to_clear.discard(cleared.part)
            at = now - cleared.age_ms / _MS_PER_S
            if self._evidence.known.is_cleared_news(cleared.part, at):
                self._evidence.known.record_cleared(cleared.part, at)
        told = {cleared.part for cleared in news.cleared}
        for record in news.crashes:
            crash = _from_record(record, now)
            if self._evidence.record_crash(crash):
                self._tell_if_cleared(_leading_parts(crash) - told)
        if news.reply_to:
            self._send((news.reply_to,), self._evidence.known.crash_by_server)

    def _tell_if_cleared(self, parts: Iterable[str]) -> None:
        """Notes which of the parts this host has seen answered."""
        for part in parts:
            if self._evidence.known.cleared_at(part) is not None:
                self._parts_to_clear.add(part)
                self._news.set()


def _leading_parts(crash: crash_evidence.Crash) -> frozenset[str]:
    """Returns the parts that a crash speaks against first."""
    return crash.begun or crash.sent


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * _MS_PER_S))


def _to_record(crash: crash_evidence.Crash,
               now: float) -> peer_messages.CrashRecord:
    return peer_messages.CrashRecord(server=crash.server,
                                     age_ms=_age_ms(crash.at, now),
                                     begun=tuple(sorted(crash.begun)),
                                     sent=tuple(sorted(crash.sent)))


def _from_record(record: peer_messages.CrashRecord,
                 now: float) -> crash_evidence.Crash:
    return crash_evidence.Crash(server=record.server,
                                at=now - record.age_ms / _MS_PER_S,
                                begun=frozenset(record.begun),
                                sent=frozenset(record.sent))
