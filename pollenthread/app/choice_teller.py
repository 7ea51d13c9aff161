"""Tells the holder of a group's duty which experts a rank's requests choose."""

import random
from collections.abc import Sequence

from pollenthread.app import group_view, roster
from pollenthread.core import expert_choices, peer_messages
from pollenthread.ports import clock, peers, rank_server

__all__ = ['ChoiceTeller']

_MIN_PAUSE_S = 0.13
# All ranks of a group tell one host, whose link is like this one's.
_LINK_SHARE = 0.25
_DATAGRAM_HEADER_BYTES = 96
_CHOICES_A_DATAGRAM = 2048


class ChoiceTeller:
    """Tells at a pace at which all ranks of a group leave room on one link."""

    def __init__(self, *, host: str, server: rank_server.RankServer,
                 hosts: roster.Roster, book: group_view.GroupBook,
                 network: peers.PeerNetwork, link_bytes_per_s: float,
                 time: clock.Clock, rng: random.Random) -> None:
        """Makes a teller that has told nothing.

        Args:
            host: this agent's host.
            server: the server beside it.
            hosts: the hosts of the deployment.
            book: what is known of groups.
            network: reaches peers.
            link_bytes_per_s: the speed of this host's link.
            time: the clock.
            rng: rounds choices, and spreads the moments at which ranks tell.
        """
        self._host = host
        self._server = server
        self._hosts = hosts
        self._book = book
        self._network = network
        self._link_bytes_per_s = link_bytes_per_s
        self._clock = time
        self._rng = rng
        self._counter = expert_choices.ChoiceCounter()
        self._due_at = float('-inf')

    async def tell(self, state: peer_messages.RankState, experts: int) -> None:
        """Tells what was chosen since the last time, if it is time to.

        Args:
            state: the rank's state.
            experts: experts in a set.
        """
        holder = self._book.view(state.group).holder()
        now = self._clock.monotonic()
        if holder is None or not experts or now < self._due_at:
            return
        try:
            found = await self._server.fetch_choice_counts()
        except rank_server.RankServerUnavailableError:
            return
        pause_s = self._pause_s(state.size, len(found.counts))
        self._due_at = now + pause_s * self._rng.uniform(0.7, 1.3)
        choices = self._counter.take((state.born_ms, found.epoch), found.counts)
        if choices is not None:
            self._send(state, holder, experts, choices)

    def _pause_s(self, ranks: int, choices: int) -> float:
        datagrams = -(-choices // _CHOICES_A_DATAGRAM)
        size = (expert_choices.packed_size(choices) +
                datagrams * _DATAGRAM_HEADER_BYTES)
        allowed_bytes_per_s = self._link_bytes_per_s * _LINK_SHARE
        return max(_MIN_PAUSE_S, ranks * size / allowed_bytes_per_s)

    def _send(self, state: peer_messages.RankState, holder: str, experts: int,
              choices: Sequence[int]) -> None:
        record = self._hosts.records_by_host.get(holder)
        size = max(1, _CHOICES_A_DATAGRAM // experts) * experts
        for begin in range(0, len(choices), size):
            unit, packed = expert_choices.pack(choices[begin:begin + size],
                                               self._rng)
            news = peer_messages.ExpertChoices(group=state.group,
                                               rank=state.rank,
                                               first_set=begin // experts,
                                               experts=experts,
                                               unit=unit,
                                               packed=packed)
            if holder == self._host:
                self._book.take_choices(news)
            elif record is not None:
                self._network.send(record.peer_address, news)
