"""Interface to links, the connections between processes of the system."""

import abc

from pollenthread.core import messages

__all__ = ['Link', 'LinkHandler', 'LinkClosedError', 'send_if_open']


class LinkClosedError(Exception):
    """The link is closed; messages sent before may not have been received."""


class Link(abc.ABC):
    """A connection to another process, which is not reopened once closed."""

    @property
    @abc.abstractmethod
    def peer(self) -> messages.Hello:
        """The hello message of the process at the other end."""

    @property
    @abc.abstractmethod
    def session_id(self) -> str:
        """The id that the accepting side assigned to this link."""

    @property
    @abc.abstractmethod
    def is_open(self) -> bool:
        """Whether messages can be sent."""

    @abc.abstractmethod
    def send(self, message: messages.Message) -> None:
        """Queues a message for sending.

        Raises:
            LinkClosedError: the link is closed.
        """

    @abc.abstractmethod
    async def drain(self) -> None:
        """Waits until the send buffer is below its high-water mark."""

    @abc.abstractmethod
    def close(self, reason: str) -> None:
        """Closes the link immediately.

        Args:
            reason: the reason, for logs and for the handler.
        """


class LinkHandler(abc.ABC):
    """Callbacks for the events of links."""

    @abc.abstractmethod
    def on_open(self, link: Link) -> None:
        """Called when both sides have sent their hello message."""

    @abc.abstractmethod
    def on_message(self, link: Link, message: messages.Message) -> None:
        """Called for each message that is received, except hello messages."""

    @abc.abstractmethod
    def on_close(self, link: Link, reason: str) -> None:
        """Called when the link has been closed."""


def send_if_open(link: Link, message: messages.Message) -> bool:
    """Sends a message unless the link is closed.

    Returns:
        Whether the link was open.
    """
    try:
        link.send(message)
    except LinkClosedError:
        return False
    return True
