"""Selects the data centre that serves a request.

Each byte between data centres has a cost, so work stays where it arrives while
that serves it in time. What is planned to move is decided in `spill`; here
follow the requests that find no free slot for a moment.
"""

from collections.abc import Sequence

from pollenthread.core import (server_registry, service_estimate, spreading)
from pollenthread.core.routing import known_loads, spill

__all__ = ['DataCentreChoice']


class DataCentreChoice:
    """Selects between the data centres of the servers of a service."""

    def __init__(self, *, loads: known_loads.KnownLoads,
                 rng: spreading.RandomSource) -> None:
        self._loads = loads
        self._rng = rng
        self._plan_by_service: dict[str, spill.SpillPlan] = {}

    def set_plan(self, service: str, plan: spill.SpillPlan) -> None:
        """Sets which requests to a service go to other data centres."""
        self._plan_by_service[service] = plan

    def plan(self,
             servers: Sequence[server_registry.Server]) -> spill.SpillPlan:
        """Returns the plan for the service of some servers."""
        return self._plan_by_service.get(servers[0].service, spill.SpillPlan())

    def narrow(self, servers: Sequence[server_registry.Server], *, own: str,
               requirements: service_estimate.RequestRequirements,
               arrivals: float, now: float) -> Sequence[server_registry.Server]:
        """Returns the servers of the data centre that is to serve a request.

        This is the own one, or another by the planned shares, if it serves the
        request in time. If it has too few free slots for the requests that
        arrive before the next reports, that part of them goes to servers of
        others that are in time, and leave a slot to their own callers. If there
        are none, returns all servers but those of data centres that move work
        away.

        Args:
            servers: the servers that can serve the request; not empty.
            own: the data centre of this host.
            requirements: the requirements of the request.
            arrivals: requests that all hosts send to these servers before the
                next reports.
            now: monotonic seconds.
        """
        if len({s.data_centre for s in servers}) == 1:
            return servers
        data_centre = self._pick_data_centre(servers, own)
        near = [
            s for s in servers if s.data_centre == data_centre and
            self._is_in_time(s, requirements, now, free_slots=1)
        ]
        share = sum(
            s.data_centre == data_centre for s in servers) / len(servers)
        free_slots = sum(s.slots - self._loads.load(s.id, now) for s in near)
        plan = self.plan(servers)
        if near and (plan.is_receiver or
                     free_slots >= self._rng.random() * share * arrivals):
            return near
        closed = plan.full_data_centres | {data_centre}
        others = [s for s in servers if s.data_centre not in closed]
        far = [
            s for s in others
            if self._is_in_time(s, requirements, now, free_slots=2)
        ]
        if self._loads.reported(servers, now):
            far = self._loads.reported(far, now)
        here = [s for s in servers if s.data_centre == data_centre]
        return far or near or here + others or servers

    def _pick_data_centre(self, servers: Sequence[server_registry.Server],
                          own: str) -> str:
        """Returns where to serve a request: here, or at random elsewhere."""
        shares = self.plan(servers).share_by_data_centre
        if not shares:
            return own
        point = self._rng.random()
        for data_centre, share in sorted(shares.items()):
            point -= share
            if point < 0:
                return data_centre
        return own

    def _is_in_time(self, server: server_registry.Server,
                    requirements: service_estimate.RequestRequirements,
                    now: float, *, free_slots: int) -> bool:
        """Returns whether a request starts at once and keeps its gaps."""
        estimate = self._loads.estimate(server, now)
        return (estimate.load + free_slots <= estimate.slots and
                service_estimate.keeps_gap(requirements, estimate) and
                not self._loads.is_unresponsive(server.id, now))
