"""Interface to the platform's list of hosts."""

import abc
import dataclasses

import result

__all__ = ['ListedHost', 'HostList']


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry of the host list.

    Attributes:
        name: the host's name.
        role: 'entry' or 'upstream'.
        data_centre: the data centre that the host is in.
        region: the region of the data centre.
        link_address: `ip:port` of the listener for links.
        caller_address: `ip:port` of the listener for callers; empty for
            upstreams.
        admin_address: `ip:port` of the administration listener; may be
            empty.
        service_group: for an upstream, the name of the group of hosts that
            provide the same service; may be empty.
        is_terminating: whether the platform is removing the host.
    """

    name: str
    role: str
    data_centre: str
    region: str
    link_address: str
    caller_address: str = ''
    admin_address: str = ''
    service_group: str = ''
    is_terminating: bool = False


class HostList(abc.ABC):
    """A client of the host list, whose content may be out of date."""

    @abc.abstractmethod
    async def read(self) -> result.Result[dict[str, ListedHost], str]:
        """Reads the list.

        Returns:
            The hosts by name, or the text of an error.
        """
