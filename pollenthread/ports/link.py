"""Links between the system's own processes."""

import abc

from pollenthread.core import messages

__all__ = ['Link', 'LinkHandler', 'LinkClosedError', 'send_if_open']


class LinkClosedError(Exception):
    """The link is closed; what was sent may or may not have arrived."""


class Link(abc.ABC):
    """One connection to another process, open until it is lost."""

    @property
    @abc.abstractmethod
    def peer(self) -> messages.Hello:
        """Who is at the other end."""

    @property
    @abc.abstractmethod
    def session_id(self) -> str:
        """The accepting side's name for this link."""

    @property
    @abc.abstractmethod
    def is_open(self) -> bool:
        """Whether messages may still be sent."""

    @abc.abstractmethod
    def send(self, message: messages.Message) -> None:
        """Queues a message.

        Raises:
            LinkLost: the link is closed.
        """

    @abc.abstractmethod
    async def drain(self) -> None:
        """Waits until the queue of unsent bytes is short."""

    @abc.abstractmethod
    def close(self, reason: str) -> None:
        """Closes the link at once."""


class LinkHandler(abc.ABC):
    """What a process does with its links."""

    @abc.abstractmethod
    def on_open(self, link: Link) -> None:
        """A link is ready."""

    @abc.abstractmethod
    def on_message(self, link: Link, message: messages.Message) -> None:
        """A message came."""

    @abc.abstractmethod
    def on_close(self, link: Link, reason: str) -> None:
        """The link is gone."""


def send_if_open(link: Link, message: messages.Message) -> bool:
    """Sends on a link that may have closed meanwhile; whether it was open."""
    try:
        link.send(message)
    except LinkClosedError:
        return False
    return True
