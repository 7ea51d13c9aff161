"""Permits for requests to servers that limit their request rate.

The limit of a server holds for all entry hosts together. One of them, selected
by rendezvous hashing over the usable hosts, issues the permits for a server;
the others ask it before each request to that server. A static split of the
rate would leave the parts of hosts unused that have no request just then, and
round small limits up to one request for each host.

If the issuer changes, the new one waits before its first permit, since the old
one may have issued some just before.

Servers that have a warm-up need a permit at any time too, since they may become
slow without anyone knowing. Their rate is high enough for a static split, which
costs no messages and needs no issuer (`core.routing.send_windows`).
"""

import abc
import asyncio
import dataclasses
import itertools
import math
from collections.abc import Sequence

from pollenthread.app import entry_liveness, serving_state
from pollenthread.app.routing import server_shares
from pollenthread.core import (host_record, log_events, membership,
                               peer_messages, rate_pacer, server_limits,
                               server_registry)
from pollenthread.core.routing import send_windows
from pollenthread.ports import clock, event_log, peers

__all__ = ['LocalRatePermits', 'Permit', 'RatePermits', 'SharedRatePermits']

# An issuer that does not answer within this time has failed or is overloaded.
_REPLY_TIMEOUT_S = 0.06
# Pause before an issuer that did not answer is asked again.
_UNANSWERED_PAUSE_S = 0.3
# Time before the first permit of an issuer, if the limit allows one sooner.
_MIN_START_DELAY_S = 0.5
# Pause after another request has taken the last one of a share.
_FULL_SHARE_PAUSE_S = 0.3
_MS_PER_S = 1000
_MAX_AGE_MS = 2**31


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """The answer to a request for a permit.

    Attributes:
        is_granted: whether the request may be sent.
        wait_s: seconds until it may be sent; if it is not granted, seconds
            until another permit may be available.
    """

    is_granted: bool
    wait_s: float = 0.0


class RatePermits(abc.ABC):
    """Permits for requests to servers."""

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        self._state = state
        self._limits = state.server_limits
        self._windows = send_windows.SendWindows()
        self._shares = server_shares.ServerShares(state=state,
                                                  other_hosts=self._other_hosts,
                                                  own=self._own_name)
        self._clock = time
        self._log = log
        self._refused_until_by_id: dict[str, float] = {}

    def observe(self, server: server_registry.Server, per_s: float) -> None:
        """Records the limit that a response of a server names.

        Args:
            server: the server.
            per_s: requests per second; infinite if it names no limit.
        """
        limit = server_limits.RateLimit(server_id=server.id,
                                        born_ms=server.born_ms,
                                        per_s=per_s,
                                        named_at=self._clock.monotonic())
        if self._record(limit, source='server'):
            self._announce(limit)

    def _record(self, limit: server_limits.RateLimit, *, source: str) -> bool:
        if not self._limits.record(limit):
            return False
        self._refused_until_by_id.pop(limit.server_id, None)
        self._log.write(log_events.LogEvent.SERVER_LIMIT,
                        server=limit.server_id,
                        per_s=limit.per_s if limit.is_limited else None,
                        source=source)
        return True

    def available_at(self, server: server_registry.Server) -> float:
        """Returns the monotonic seconds before which no permit is available.

        Returns a time in the past if one may be available now, and negative
        infinity if the server needs none. Returns infinity if the server is
        left to other hosts.
        """
        available_at = self._windows.open_at(server.id)
        if self._shares.share_of(server) == 0:
            return math.inf
        if self._limits.get(server) is None:
            return available_at
        return max(available_at,
                   self._refused_until_by_id.get(server.id, -math.inf))

    async def acquire(self, server: server_registry.Server,
                      max_wait_s: float) -> Permit:
        """Acquires the permit for one request.

        Args:
            server: the server that the request would be sent to.
            max_wait_s: how long the request can wait, in seconds.

        Returns:
            The permit, which is granted at once if the server needs none.
        """
        now = self._clock.monotonic()
        share = self._shares.share_of(server)
        if share == 0:
            return Permit(False, math.inf)
        wait_s = max(0.0, self._windows.open_at(server.id) - now)
        if wait_s > max_wait_s:
            return Permit(False, wait_s)
        permit = await self._acquire_from_issuer(server, max_wait_s)
        if not permit.is_granted:
            return permit
        wait_s = max(wait_s, permit.wait_s)
        if share is not None and not self._windows.reserve(
                server.id, share,
                self._clock.monotonic() + wait_s):
            return Permit(False, _FULL_SHARE_PAUSE_S)
        return Permit(True, wait_s)

    async def _acquire_from_issuer(self, server: server_registry.Server,
                                   max_wait_s: float) -> Permit:
        limit = self._limits.get(server)
        if limit is None:
            return Permit(True)
        permit = await self._request(limit, max_wait_s)
        if not permit.is_granted:
            self._refused_until_by_id[server.id] = (self._clock.monotonic() +
                                                    permit.wait_s)
        return permit

    def drop_idle(self) -> None:
        """Forgets what is over, and shares that have changed."""
        self._windows.drop_idle(self._clock.monotonic())
        self._shares.refresh()

    @property
    def _own_name(self) -> str:
        """The name of this host."""
        return ''

    def _other_hosts(self) -> Sequence[str] | None:
        """Returns the other hosts that use the servers; None if unknown."""
        return ()

    @abc.abstractmethod
    async def _request(self, limit: server_limits.RateLimit,
                       max_wait_s: float) -> Permit:
        """Requests a permit from the issuer of a limited server."""

    @abc.abstractmethod
    def _announce(self, limit: server_limits.RateLimit) -> None:
        """Tells the other hosts that a server has changed its limit."""


class LocalRatePermits(RatePermits):
    """Permits of a host that shares its servers with no other host."""

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        super().__init__(state=state, time=time, log=log)
        self._pacer_by_id: dict[str, rate_pacer.RatePacer] = {}

    def _announce(self, limit: server_limits.RateLimit) -> None:
        return

    async def _request(self, limit: server_limits.RateLimit,
                       max_wait_s: float) -> Permit:
        return self._issue(limit, max_wait_s)

    def _issue(self, limit: server_limits.RateLimit,
               max_wait_s: float) -> Permit:
        """Issues a permit, or tells when one may be available."""
        if not limit.is_limited:
            return Permit(True)
        now = self._clock.monotonic()
        pacer = self._pacer_by_id.get(limit.server_id)
        if pacer is None:
            self._drop_unused_pacers()
            pacer = rate_pacer.RatePacer(starts_at=now + _MIN_START_DELAY_S)
            self._pacer_by_id[limit.server_id] = pacer
        wait_s = pacer.reserve(limit.per_s, max_wait_s, now)
        if wait_s is None:
            return Permit(False, pacer.wait_s(now))
        return Permit(True, wait_s)

    def _drop_unused_pacers(self) -> None:
        """Drops the pacers of servers that name no limit any more."""
        for server_id in list(self._pacer_by_id):
            limit = self._limits.last_named(server_id)
            if limit is None or not limit.is_limited:
                del self._pacer_by_id[server_id]


class SharedRatePermits(LocalRatePermits):
    """Permits of an entry host that shares its servers with others."""

    def __init__(self, *, own: host_record.HostRecord,
                 liveness: entry_liveness.EntryLiveness,
                 network: peers.PeerNetwork, state: serving_state.ServingState,
                 time: clock.Clock, log: event_log.EventLog) -> None:
        self._own = own
        self._liveness = liveness
        super().__init__(state=state, time=time, log=log)
        self._network = network
        self._numbers = itertools.count(1)
        self._reply_by_number: dict[
            int, asyncio.Future[peer_messages.PermitReply]] = {}
        network.set_datagram_handler(peer_messages.LimitRecord,
                                     self._on_announcement)
        network.set_datagram_handler(peer_messages.PermitRequest,
                                     self._on_request)
        network.set_datagram_handler(peer_messages.PermitReply, self._on_reply)

    def _announce(self, limit: server_limits.RateLimit) -> None:
        self._network.send_all(
            (record.peer_address for record in self._liveness.other_records()),
            self._to_record(limit))

    async def _request(self, limit: server_limits.RateLimit,
                       max_wait_s: float) -> Permit:
        issuer = self._issuer_of(limit.server_id)
        if issuer is None:
            return self._issue(limit, max_wait_s)
        number = next(self._numbers)
        request = peer_messages.PermitRequest(number=number,
                                              reply_to=self._own.peer_address,
                                              max_wait_ms=int(max_wait_s *
                                                              _MS_PER_S),
                                              limit=self._to_record(limit))
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_number[number] = reply
        self._network.send(issuer.peer_address, request)
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                found: peer_messages.PermitReply = await reply
        except TimeoutError:
            return Permit(False, _UNANSWERED_PAUSE_S)
        finally:
            del self._reply_by_number[number]
        return Permit(found.is_granted, found.wait_ms / _MS_PER_S)

    @property
    def _own_name(self) -> str:
        return self._own.host

    def _other_hosts(self) -> Sequence[str] | None:
        if not self._liveness.are_hosts_known:
            return None
        return [record.host for record in self._liveness.other_records()]

    def _issuer_of(self, server_id: str) -> host_record.HostRecord | None:
        """Returns the host that issues permits, or None for this host."""
        record_by_host = {
            record.host: record for record in self._liveness.usable_records()
        }
        hosts = membership.rank_by_rendezvous_hash(record_by_host,
                                                   f'permits\0{server_id}')
        if not hosts or hosts[0] == self._own.host:
            return None
        return record_by_host[hosts[0]]

    # Messages of peers.

    def _on_announcement(self, record: peer_messages.LimitRecord) -> None:
        self._record(self._from_record(record), source='peer')

    def _on_request(self, request: peer_messages.PermitRequest) -> None:
        self._on_announcement(request.limit)
        limit = self._limits.last_named(request.limit.server)
        if limit is None:
            return
        permit = self._issue(limit, request.max_wait_ms / _MS_PER_S)
        self._network.send(
            request.reply_to,
            peer_messages.PermitReply(number=request.number,
                                      is_granted=permit.is_granted,
                                      wait_ms=math.ceil(permit.wait_s *
                                                        _MS_PER_S),
                                      limit=self._to_record(limit)))

    def _on_reply(self, reply: peer_messages.PermitReply) -> None:
        self._on_announcement(reply.limit)
        waiting = self._reply_by_number.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def _to_record(self,
                   limit: server_limits.RateLimit) -> peer_messages.LimitRecord:
        age_s = self._clock.monotonic() - limit.named_at
        return peer_messages.LimitRecord(server=limit.server_id,
                                         born_ms=limit.born_ms,
                                         per_s=limit.per_s,
                                         age_ms=min(_MAX_AGE_MS,
                                                    int(age_s * _MS_PER_S)))

    def _from_record(
            self, record: peer_messages.LimitRecord) -> server_limits.RateLimit:
        return server_limits.RateLimit(server_id=record.server,
                                       born_ms=record.born_ms,
                                       per_s=record.per_s,
                                       named_at=self._clock.monotonic() -
                                       record.age_ms / _MS_PER_S)
