"""The levels of importance of a service's requests.

A level is the rank of a priority among those that the configuration uses for
the service. With one priority in use, all requests are on the same level.
"""

import bisect
import dataclasses
from collections.abc import Mapping

from pollenthread.core import routing_config

__all__ = [
    'MAX_LEVELS', 'ServiceLevels', 'configured_priority', 'levels_by_service'
]

# Bounds what hosts tell each other; further priorities share the last level.
MAX_LEVELS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLevels:
    """The levels of one service.

    Attributes:
        priorities: the priorities in use, the most important (least) first.
    """

    priorities: tuple[int, ...] = (0,)

    @property
    def count(self) -> int:
        """The number of levels."""
        return min(MAX_LEVELS, len(self.priorities))

    def level_of(self, priority: int) -> int:
        """Returns the level of a priority; 0 is the most important."""
        return min(bisect.bisect_left(self.priorities, priority),
                   self.count - 1)


def configured_priority(route: routing_config.Route,
                        workspace: routing_config.KeyWorkspace | None) -> int:
    """Returns the priority of a request; that of its workspace goes first."""
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def levels_by_service(
        config: routing_config.RoutingConfig) -> Mapping[str, ServiceLevels]:
    """Returns the levels of each service that a route leads to.

    Args:
        config: the configuration.
    """
    of_workspaces = {
        workspace.priority
        for workspace in (config.workspaces_by_api_key or {}).values()
        if workspace.priority is not None
    }
    priorities_by_service: dict[str, set[int]] = {}
    for routes in config.routes_by_host.values():
        for route in routes:
            for share in route.shares:
                priorities_by_service.setdefault(share.service,
                                                 set(of_workspaces)).add(
                                                     route.priority)
    return {
        service: ServiceLevels(tuple(sorted(priorities)))
        for service, priorities in priorities_by_service.items()
    }
