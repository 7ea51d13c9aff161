"""Distributes the newest configuration to all entry hosts.

A few hosts of each data centre poll the table. The others ask hosts that they
are linked to. A host without a recent proof that its version is the newest
reads the table itself.
"""

import random

from absl import logging

from pollenthread.app import (config_store, directory as directory_module,
                              peer_links as peers_module)
from pollenthread.core import config_freshness, messages
from pollenthread.ports import clock, link as link_port

__all__ = ['ConfigDistributor']

_JITTER_RATIO = 0.2
_MAX_PEERS_ASKED = 2
_MS_PER_S = 1000


class ConfigDistributor:
    """Requests, serves and announces versions over links."""

    def __init__(self, *, store: config_store.ConfigStore,
                 peers: peers_module.PeerLinks,
                 directory: directory_module.HostDirectory, time: clock.Clock,
                 rng: random.Random) -> None:
        """Initializes a distributor and subscribes to its messages.

        Args:
            store: the configuration of this host; its apply callback is set
                here.
            peers: links to the other entry hosts.
            directory: the hosts that poll the table.
            time: the clock.
            rng: adds jitter and selects the hosts to ask.
        """
        self._store = store
        self._peers = peers
        self._directory = directory
        self._clock = time
        self._rng = rng
        self._ask_count = 0
        self._asked_at_by_seq: dict[int, float] = {}
        store.on_apply = self._announce
        peers.subscribe(messages.ConfigAsk, self._on_ask)
        peers.subscribe(messages.ConfigGive, self._on_response)
        peers.subscribe(messages.ConfigNews, self._on_announcement)
        peers.subscribe(messages.Ping, self._on_ping)

    async def run(self) -> None:
        """Keeps the applied version current until cancelled."""
        while True:
            await self.run_once()
            jitter = 1 + _JITTER_RATIO * (2 * self._rng.random() - 1)
            await self._clock.sleep(config_freshness.POLL_INTERVAL_S * jitter)

    async def run_once(self) -> None:
        """Asks peers, and reads the table if this host should poll."""
        for link in self._links_to_ask():
            self._ask(link)
        if config_freshness.should_poll(self._store.freshness,
                                        is_poller=self._directory.is_poller,
                                        now=self._clock.monotonic()):
            await self._store.refresh()

    def _links_to_ask(self) -> list[link_port.Link]:
        links_by_host = dict(self._peers.links_by_host)
        chosen = [
            links_by_host.pop(host)
            for host in sorted(self._directory.pollers)
            if host in links_by_host
        ]
        rest = list(links_by_host.values())
        self._rng.shuffle(rest)
        return (chosen + rest)[:_MAX_PEERS_ASKED]

    def _ask(self, link: link_port.Link) -> None:
        self._ask_count += 1
        now = self._clock.monotonic()
        self._asked_at_by_seq = {
            seq: at
            for seq, at in self._asked_at_by_seq.items()
            if now - at < config_freshness.MAX_PROOF_AGE_S
        }
        self._asked_at_by_seq[self._ask_count] = now
        _send(link, messages.ConfigAsk(self._ask_count, self._store.version))

    def _on_ask(self, link: link_port.Link, ask: messages.ConfigAsk) -> None:
        stored = self._store.stored
        age_s = self._store.age_s
        document = b''
        if stored is not None and config_freshness.must_fetch(
                ask.version, stored.version):
            document = stored.to_bytes()
        _send(
            link,
            messages.ConfigGive(
                seq=ask.seq,
                version=self._store.version,
                is_proved=age_s is not None,
                age_ms=0 if age_s is None else int(age_s * _MS_PER_S) + 1,
                document=document))

    def _on_response(self, _: link_port.Link,
                     response: messages.ConfigGive) -> None:
        asked_at = self._asked_at_by_seq.pop(response.seq, None)
        if asked_at is None:
            return
        if response.document:
            try:
                self._store.apply(
                    config_store.StoredVersion.from_bytes(response.document))
            except ValueError as error:
                logging.error('invalid configuration version from a peer: %s',
                              error)
                return
        if response.is_proved:
            proved_at = config_freshness.peer_proof_time(asked_at=asked_at,
                                                         age_s=response.age_ms /
                                                         _MS_PER_S)
            self._store.confirm_newest(response.version, proved_at)

    def _on_announcement(self, link: link_port.Link,
                         announcement: messages.ConfigNews) -> None:
        self._ask_if_newer(link, announcement.version)

    def _on_ping(self, link: link_port.Link, ping: messages.Ping) -> None:
        self._ask_if_newer(link, ping.config_version)

    def _ask_if_newer(self, link: link_port.Link, announced: int) -> None:
        if config_freshness.must_fetch(self._store.version, announced):
            self._ask(link)

    def _announce(self, version: int) -> None:
        self._peers.broadcast(messages.ConfigNews(version))


def _send(link: link_port.Link, message: messages.Message) -> None:
    try:
        link.send(message)
    except link_port.LinkClosedError:
        pass
