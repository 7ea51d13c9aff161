"""The state by which an entry host forwards requests."""

import dataclasses
import random

from pollenthread.app import evidence_log
from pollenthread.core import (retry_budget, routing_config, server_limits,
                               server_load, server_registry, server_statements)
from pollenthread.core.admission import fleet_demand
from pollenthread.core.routing import evacuations, warm_up, work_estimate

__all__ = ['RetryBudgetSettings', 'ServingState', 'WarmUpSettings']

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


@dataclasses.dataclass(frozen=True)
class WarmUpSettings:
    """What servers may get, relative to what they bear while they warm up.

    Attributes:
        factor: requests in a second, relative to that.
        extra: further requests in a second.
    """

    factor: float = 1.0
    extra: float = 0.0


class ServingState:
    """Configuration, servers, load and retry budgets of an entry host.

    Attributes:
        data_centre: the data centre of this host.
        config: the current configuration; None before the first.
        server_registry: the servers that are listed in the store.
        server_loads: the load of each server.
        work_estimator: the expected work of requests.
        server_limits: the request rates that servers accept.
        server_statements: which servers have said that they want no request.
        evacuations: the data centres that operators have emptied.
        warming_servers: the servers that are slow after a start.
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

    def __init__(
        self,
        *,
        data_centre: str,
        retry_settings: RetryBudgetSettings,
        return_s: float,
        rng: random.Random,
        warm_up_settings: WarmUpSettings = WarmUpSettings()
    ) -> None:
        self.data_centre = data_centre
        self.config: routing_config.RoutingConfig | None = None
        self.server_registry = server_registry.ServerRegistry(
            relisting_s=return_s)
        self.server_loads = server_load.ServerLoadTracker(rng=rng)
        self.work_estimator = work_estimate.WorkEstimator()
        self.server_limits = server_limits.RateLimits()
        self.server_statements = server_statements.ServerStatements()
        self.evacuations = evacuations.Evacuations()
        self.warming_servers = warm_up.WarmingServers()
        self.demand = fleet_demand.DemandTracker()
        self.host = ''
        self.near_hosts: tuple[str, ...] = ()
        self.entry_host_count = 1
        self.shutdown_began_at: float | None = None
        self.evidence_log = evidence_log.EvidenceLog(
            patience=rng.uniform(1.0, _MAX_PATIENCE))
        self.rng = rng
        self._retry_settings = retry_settings
        self._warm_up_settings = warm_up_settings
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

    def warm_up_of(self, service: str) -> routing_config.WarmUp | None:
        """Returns the warm-up of the servers of a service, or None."""
        config = self.config
        found = config.services_by_name.get(service) if config else None
        return found.warm_up if found is not None else None

    def server_limit_per_s(self, service: str) -> float | None:
        """Returns what a server may get in a second from all hosts, or None.

        Args:
            service: the name of the service.
        """
        found = self.warm_up_of(service)
        if found is None:
            return None
        settings = self._warm_up_settings
        return found.requests_per_s * settings.factor + settings.extra

    def pick_service(self, route: routing_config.Route) -> str:
        """Picks one of the route's services at random by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self.rng.choices(route.shares, weights)[0].service

    @property
    def is_ready(self) -> bool:
        """Whether callers should connect to this host."""
        return (self.is_configured and self.shutdown_began_at is None and
                bool(self.server_registry.listed_by_id))

    @property
    def is_configured(self) -> bool:
        """Whether this host knows what operators want of it."""
        return self.config is not None and self.evacuations.is_known
