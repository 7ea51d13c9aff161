"""Links between entry hosts: who is alive and who leaves."""

from collections.abc import Callable
from typing import Any

from absl import logging

from pollenthread.core import messages
from pollenthread.ports import link as link_port

__all__ = ['Peers']

_OnMessage = Callable[[link_port.Link, Any], None]


class Peers(link_port.LinkHandler):
    """Entry hosts by name, and what to do with their messages."""

    def __init__(self) -> None:
        self.links_by_host: dict[str, link_port.Link] = {}
        self._handlers_by_type: dict[type[Any], _OnMessage] = {}

    def subscribe(self, message_type: type[Any], handler: _OnMessage) -> None:
        """Sets who handles messages of a type from other entry hosts."""
        self._handlers_by_type[message_type] = handler

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to every linked entry host."""
        for link in list(self.links_by_host.values()):
            try:
                link.send(message)
            except link_port.LinkLost:
                continue

    def on_open(self, link: link_port.Link) -> None:
        self.links_by_host[link.peer.host] = link
        logging.info('peer linked host=%s', link.peer.host)

    def on_close(self, link: link_port.Link, reason: str) -> None:
        if self.links_by_host.get(link.peer.host) is link:
            del self.links_by_host[link.peer.host]
            logging.info('peer lost host=%s reason=%s', link.peer.host, reason)

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        handler = self._handlers_by_type.get(type(message))
        if handler is not None:
            handler(link, message)
