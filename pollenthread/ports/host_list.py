"""The platform's list of live and leaving hosts."""

import abc
import dataclasses

import result

__all__ = ['Host', 'HostList']


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
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
    address: str
    callers: str = ''
    admin: str = ''
    serves: str = ''
    leaving: bool = False


class HostList(abc.ABC):
    """The list, which lags behind the truth."""

    @abc.abstractmethod
    async def read(self) -> result.Result[dict[str, Host], str]:
        """Reads all hosts by name, or says why it cannot."""
