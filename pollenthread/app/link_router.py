"""Routes the links to an agent by the role of the other end."""

from pollenthread.core import messages
from pollenthread.ports import link as link_port

__all__ = ['LinkRouter']


class LinkRouter(link_port.LinkHandler):
    """Routes links from agents to the rank group, all others to the attempts.

    Without a rank group, links from agents are ignored.
    """

    def __init__(self, *, attempt_handler: link_port.LinkHandler,
                 group: link_port.LinkHandler | None) -> None:
        self._attempt_handler = attempt_handler
        self._group = group

    def on_open(self, link: link_port.Link) -> None:
        handler = self._handler(link)
        if handler is not None:
            handler.on_open(link)

    def on_close(self, link: link_port.Link, reason: str) -> None:
        handler = self._handler(link)
        if handler is not None:
            handler.on_close(link, reason)

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        handler = self._handler(link)
        if handler is not None:
            handler.on_message(link, message)

    def _handler(self, link: link_port.Link) -> link_port.LinkHandler | None:
        return (self._group
                if link.peer.role == 'agent' else self._attempt_handler)
