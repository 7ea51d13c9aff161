"""Open links between entry hosts and the dispatch of their messages."""

import abc
from collections.abc import Callable
from typing import Any

from absl import logging

from pollenthread.core import messages
from pollenthread.ports import link as link_port

__all__ = ['LinkWatcher', 'PeerLinks']

_OnMessage = Callable[[link_port.Link, Any], None]


class LinkWatcher(abc.ABC):
    """Is notified when links to other entry hosts open and close."""

    @abc.abstractmethod
    def on_peer_linked(self, link: link_port.Link) -> None:
        """Called when a link is open."""

    @abc.abstractmethod
    def on_peer_lost(self, link: link_port.Link) -> None:
        """Called when the last link to a host has closed."""


class PeerLinks(link_port.LinkHandler):
    """The open links to entry hosts.

    Attributes:
        links_by_host: the links by host name.
    """

    def __init__(self) -> None:
        self.links_by_host: dict[str, link_port.Link] = {}
        self._handlers_by_type: dict[type[Any], list[_OnMessage]] = {}
        self._watchers: list[LinkWatcher] = []

    def subscribe(self, message_type: type[Any], handler: _OnMessage) -> None:
        """Adds a handler for messages of a type from other entry hosts."""
        self._handlers_by_type.setdefault(message_type, []).append(handler)

    def add_watcher(self, watcher: 'LinkWatcher') -> None:
        """Adds a watcher of opened and closed links."""
        self._watchers.append(watcher)

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to every linked entry host."""
        for link in list(self.links_by_host.values()):
            try:
                link.send(message)
            except link_port.LinkClosedError:
                continue

    def on_open(self, link: link_port.Link) -> None:
        self.links_by_host[link.peer.host] = link
        logging.info('peer linked host=%s', link.peer.host)
        for watcher in self._watchers:
            watcher.on_peer_linked(link)

    def on_close(self, link: link_port.Link, reason: str) -> None:
        if self.links_by_host.get(link.peer.host) is link:
            del self.links_by_host[link.peer.host]
            logging.info('peer lost host=%s reason=%s', link.peer.host, reason)
            for watcher in self._watchers:
                watcher.on_peer_lost(link)

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        for handler in self._handlers_by_type.get(type(message), ()):
            handler(link, message)
