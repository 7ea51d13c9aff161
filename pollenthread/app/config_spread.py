"""Brings the newest configuration to every entry host.

A few hosts of each data centre read the table. The others ask hosts that they
have links to. A host whose proof grows old reads the table itself.
"""

import random

from absl import logging

from pollenthread.app import (config_store, directory as directory_module, peers
                              as peers_module)
from pollenthread.core import messages, versions
from pollenthread.ports import clock, link as link_port

__all__ = ['ConfigSpread']

_JITTER = 0.2
_ASKED_AT_ONCE = 2
_MS_PER_S = 1000


class ConfigSpread:
    """Asks, answers and announces versions over links."""

    def __init__(self, *, store: config_store.ConfigStore,
                 peers: peers_module.Peers,
                 directory: directory_module.Directory, time: clock.Clock,
                 draw: random.Random) -> None:
        self._store = store
        self._peers = peers
        self._directory = directory
        self._time = time
        self._draw = draw
        self._asks = 0
        self._asked_at_by_seq: dict[int, float] = {}
        store.on_adopt = self._announce
        peers.subscribe(messages.ConfigAsk, self._on_ask)
        peers.subscribe(messages.ConfigGive, self._on_give)
        peers.subscribe(messages.ConfigNews, self._on_news)
        peers.subscribe(messages.Ping, self._on_ping)

    async def run(self) -> None:
        """Keeps the version in force current until cancelled."""
        while True:
            await self.step()
            spread = 1 + _JITTER * (2 * self._draw.random() - 1)
            await self._time.sleep(versions.POLLER_INTERVAL_S * spread)

    async def step(self) -> None:
        """Asks peers, and reads the table if it is this host's turn."""
        for link in self._links_to_ask():
            self._ask(link)
        if versions.should_poll(self._store.freshness,
                                is_poller=self._directory.is_poller,
                                now=self._time.monotonic()):
            await self._store.refresh()

    def _links_to_ask(self) -> list[link_port.Link]:
        links_by_host = dict(self._peers.links_by_host)
        chosen = [
            links_by_host.pop(host)
            for host in sorted(self._directory.pollers)
            if host in links_by_host
        ]
        rest = list(links_by_host.values())
        self._draw.shuffle(rest)
        return (chosen + rest)[:_ASKED_AT_ONCE]

    def _ask(self, link: link_port.Link) -> None:
        self._asks += 1
        now = self._time.monotonic()
        self._asked_at_by_seq = {
            seq: at
            for seq, at in self._asked_at_by_seq.items()
            if now - at < versions.PROOF_LIMIT_S
        }
        self._asked_at_by_seq[self._asks] = now
        _send(link, messages.ConfigAsk(self._asks, self._store.version))

    def _on_ask(self, link: link_port.Link, ask: messages.ConfigAsk) -> None:
        stored = self._store.stored
        age_s = self._store.age_s
        document = b''
        if stored is not None and versions.must_fetch(ask.version,
                                                      stored.version):
            document = stored.to_bytes()
        _send(
            link,
            messages.ConfigGive(
                seq=ask.seq,
                version=self._store.version,
                is_proved=age_s is not None,
                age_ms=0 if age_s is None else int(age_s * _MS_PER_S) + 1,
                document=document))

    def _on_give(self, _: link_port.Link, give: messages.ConfigGive) -> None:
        asked_at = self._asked_at_by_seq.pop(give.seq, None)
        if asked_at is None:
            return
        if give.document:
            try:
                self._store.adopt(
                    config_store.StoredVersion.from_bytes(give.document))
            except ValueError as error:
                logging.error('a peer sent a malformed version: %s', error)
                return
        if give.is_proved:
            proved_at = versions.proof_from_peer(asked_at=asked_at,
                                                 age_s=give.age_ms / _MS_PER_S)
            self._store.prove(give.version, proved_at)

    def _on_news(self, link: link_port.Link, news: messages.ConfigNews) -> None:
        self._close_gap(link, news.version)

    def _on_ping(self, link: link_port.Link, ping: messages.Ping) -> None:
        self._close_gap(link, ping.config_version)

    def _close_gap(self, link: link_port.Link, announced: int) -> None:
        if versions.must_fetch(self._store.version, announced):
            self._ask(link)

    def _announce(self, version: int) -> None:
        self._peers.broadcast(messages.ConfigNews(version))


def _send(link: link_port.Link, message: messages.Message) -> None:
    try:
        link.send(message)
    except link_port.LinkClosedError:
        pass
