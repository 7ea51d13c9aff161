"""What an entry host knows of its surroundings."""

import dataclasses
import random

from pollenthread.core import fleet, load_board, retry_budget, routing_config

__all__ = ['RetryBudgetSettings', 'ServingState']


@dataclasses.dataclass(frozen=True)
class RetryBudgetSettings:
    """What all entry hosts together may repeat; see `RetryBudget`."""

    ratio: float
    extra: float
    window_s: float


class ServingState:
    """Configuration, servers, load and budgets, shared by an entry host.

    Attributes:
        config: the newest configuration, or None before the first.
        fleet: the listed servers.
        loads: their load.
        entry_hosts: live entry hosts, this one among them.
        leaving_since: when a planned stop began, or None.
    """

    def __init__(self, *, data_centre: str, retry_bounds: RetryBudgetSettings,
                 return_s: float, rng: random.Random) -> None:
        self.data_centre = data_centre
        self.config: routing_config.RoutingConfig | None = None
        self.server_registry = fleet.Fleet(return_s=return_s)
        self.server_loads = load_board.LoadBoard(rng=rng)
        self.entry_host_count = 1
        self.leaving_since: float | None = None
        self.rng = rng
        self._retry_bounds = retry_bounds
        self._budget_by_service: dict[str, retry_budget.RetryBudget] = {}

    def retry_budget_for(self, service: str) -> retry_budget.RetryBudget:
        """The service's budget of repeats."""
        found = self._budget_by_service.get(service)
        if found is None:
            found = retry_budget.RetryBudget(
                ratio=self._retry_bounds.ratio,
                extra=self._retry_bounds.extra,
                window_s=self._retry_bounds.window_s)
            self._budget_by_service[service] = found
        return found

    def pick_service(self, route: routing_config.Route) -> str:
        """One of the route's services, by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self.rng.choices(route.shares, weights)[0].service

    @property
    def is_ready(self) -> bool:
        """Whether callers should connect here."""
        return (self.config is not None and self.leaving_since is None and
                bool(self.server_registry.listed_by_id))
