"""The platform's list of live and leaving hosts."""

import abc
import dataclasses

import result

__all__ = ['ListedHost', 'HostList']


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """One host as the platform lists it.

    Attributes:
        name: the host's name.
        role: 'entry' or 'upstream'.
        data_centre: where it is.
        region: the region of the data centre.
        address: `ip:port` of its links.
        callers: `ip:port` for callers; empty for upstreams.
        admin: `ip:port` of its administration; may be empty.
        serves: for an upstream, the name of the group of hosts that serve the
            same; may be empty.
        leaving: whether the platform is taking it away.
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
    """The list, which lags behind the truth."""

    @abc.abstractmethod
    async def read(self) -> result.Result[dict[str, ListedHost], str]:
        """Reads all hosts by name, or says why it cannot."""
