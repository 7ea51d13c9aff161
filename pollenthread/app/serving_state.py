"""The state by which an entry host forwards requests."""

import dataclasses
import random

from pollenthread.app import evidence_log
from pollenthread.core import (retry_budget, routing_config, server_limits,
                               server_load, server_registry, server_statements)
from pollenthread.core.admission import fleet_demand

__all__ = ['RetryBudgetSettings', 'ServingState']

# The longest quarantine of a host, relative to the shortest.
_MAX_PATIENCE = 1.5


@dataclasses.dataclass(frozen=True)
class RetryBudgetSettings:
    """Limits on the retries of all entry hosts; see `SharedRetryBudget`.

    Attributes:
        ratio: retries per request.
        extra: further retries per window.
        window_s: the length of the window in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class ServingState:
    """Configuration, servers, load and retry budgets of an entry host.

    Attributes:
        data_centre: the data centre of this host.
        config: the current configuration; None before the first.
        server_registry: the servers that are listed in the store.
        server_loads: the load of each server.
        server_limits: the request rates that servers accept.
        server_statements: which servers have said that they want no request.
        host: the name of this host; empty before it is known.
        near_hosts: the names of the entry hosts of the data centre.
        entry_host_count: the number of registered entry hosts, including this
            one.
        shutdown_began_at: monotonic seconds at which a graceful shutdown began,
            or None.
        demand: the demand for services at this host and at others.
        evidence_log: evidence of requests that crash servers.
        rng: random numbers.
    """

    def __init__(self, *, data_centre: str, retry_settings: RetryBudgetSettings,
                 return_s: float, rng: random.Random) -> None:
        self.data_centre = data_centre
        self.config: routing_config.RoutingConfig | None = None
        self.server_registry = server_registry.ServerRegistry(
            relisting_s=return_s)
        self.server_loads = server_load.ServerLoadTracker(rng=rng)
        self.server_limits = server_limits.RateLimits()
        self.server_statements = server_statements.ServerStatements()
        self.demand = fleet_demand.DemandTracker()
        self.host = ''
        self.near_hosts: tuple[str, ...] = ()
        self.entry_host_count = 1
        self.shutdown_began_at: float | None = None
        self.evidence_log = evidence_log.EvidenceLog(
            patience=rng.uniform(1.0, _MAX_PATIENCE))
        self.rng = rng
        self._retry_settings = retry_settings
        self._budget_by_service: dict[str, retry_budget.SharedRetryBudget] = {}

    def retry_budget_for(self, service: str) -> retry_budget.SharedRetryBudget:
        """Returns the retry budget of a service."""
        found = self._budget_by_service.get(service)
        if found is None:
            found = retry_budget.SharedRetryBudget(
                ratio=self._retry_settings.ratio,
                extra=self._retry_settings.extra,
                window_s=self._retry_settings.window_s)
            self._budget_by_service[service] = found
        return found

    def pick_service(self, route: routing_config.Route) -> str:
        """Picks one of the route's services at random by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self.rng.choices(route.shares, weights)[0].service

    @property
    def is_ready(self) -> bool:
        """Whether callers should connect to this host."""
        return (self.config is not None and self.shutdown_began_at is None and
                bool(self.server_registry.listed_by_id))
