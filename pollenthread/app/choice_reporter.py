"""Reports a rank's expert choices to the coordinator of its group."""

import random
from collections.abc import Sequence

from pollenthread.app import group_view, host_registry
from pollenthread.core import expert_choices, peer_messages
from pollenthread.ports import clock, peers, rank_server

__all__ = ['ChoiceReporter']

_MIN_INTERVAL_S = 0.13
# Demand shifts at once, so choices from before that time would hide a shift.
_MAX_CHOICE_AGE_S = 0.15
# All ranks of a group report to one host, which is assumed to have a link of
# the same bandwidth as this one.
_MAX_LINK_SHARE = 1 / 3
_DATAGRAM_HEADER_BYTES = 96
_MAX_CHOICES_PER_DATAGRAM = 2048


class ChoiceReporter:
    """Sends reports, at a rate that the coordinator's link can take.

    All ranks of a group together use a fixed share of that link.
    """

    def __init__(self, *, host: str, server: rank_server.RankServer,
                 hosts: host_registry.HostRegistry,
                 registry: group_view.GroupRegistry, network: peers.PeerNetwork,
                 link_bytes_per_s: float, time: clock.Clock,
                 rng: random.Random) -> None:
        """Initializes a reporter that has sent nothing.

        Args:
            host: this agent's host.
            server: the client of the model server on this host.
            hosts: the hosts of the deployment.
            registry: the known state of all groups.
            network: sends messages to other hosts.
            link_bytes_per_s: the bandwidth of this host's link.
            time: the clock.
            rng: rounds counts, and adds jitter to the report times of ranks.
        """
        self._host = host
        self._server = server
        self._hosts = hosts
        self._registry = registry
        self._network = network
        self._link_bytes_per_s = link_bytes_per_s
        self._clock = time
        self._rng = rng
        self._counter = expert_choices.ChoiceCounter()
        self._due_at = float('-inf')
        self._discards_at = float('-inf')
        self._holder: str | None = None

    async def report_if_due(self, state: peer_messages.RankState,
                            experts_per_set: int) -> None:
        """Reports recent choices, if a report is due.

        Args:
            state: the rank's state.
            experts_per_set: experts in a set.
        """
        holder = self._registry.view(state.group).holder()
        now = self._clock.monotonic()
        is_due = now >= self._due_at
        if (holder is None or not experts_per_set or
                not (is_due or now >= self._discards_at)):
            return
        try:
            found = await self._server.fetch_choice_counts()
        except rank_server.RankServerUnavailableError:
            return
        choices = self._counter.take((state.born_ms, found.epoch), found.counts)
        if not is_due:
            # The report covers what is chosen from now on.
            self._discards_at = float('inf')
            return
        interval_s = self._interval_s(state.size, len(found.counts))
        if holder != self._holder:
            # If all ranks began to report at once, most would not be heard.
            self._holder = holder
            self._due_at = now + interval_s * self._rng.random()
            self._discards_at = float('inf')
            return
        self._due_at = now + interval_s * self._rng.uniform(0.7, 1.3)
        self._discards_at = (self._due_at -
                             _MAX_CHOICE_AGE_S if interval_s > 2 *
                             _MAX_CHOICE_AGE_S else float('inf'))
        if choices is not None:
            self._send(state, holder, experts_per_set, choices)

    def _interval_s(self, ranks: int, choices: int) -> float:
        datagrams = -(-choices // _MAX_CHOICES_PER_DATAGRAM)
        size_bytes = (expert_choices.packed_size(choices) +
                      datagrams * _DATAGRAM_HEADER_BYTES)
        allowed_bytes_per_s = self._link_bytes_per_s * _MAX_LINK_SHARE
        return max(_MIN_INTERVAL_S, ranks * size_bytes / allowed_bytes_per_s)

    def _send(self, state: peer_messages.RankState, holder: str, experts: int,
              choices: Sequence[int]) -> None:
        record = self._hosts.records_by_host.get(holder)
        chunk_size = max(1, _MAX_CHOICES_PER_DATAGRAM // experts) * experts
        for begin in range(0, len(choices), chunk_size):
            unit, packed = expert_choices.pack_choices(
                choices[begin:begin + chunk_size], self._rng)
            message = peer_messages.ExpertChoices(group=state.group,
                                                  rank=state.rank,
                                                  first_set=begin // experts,
                                                  experts=experts,
                                                  unit=unit,
                                                  packed=packed)
            if holder == self._host:
                self._registry.publish_choices(message)
            elif record is not None:
                self._network.send(record.peer_address, message)
