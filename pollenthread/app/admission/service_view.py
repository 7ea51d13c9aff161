"""What an entry host knows of one service when it decides on admission."""

import dataclasses
from typing import Any

from pollenthread.app import request_job, serving_state
from pollenthread.app.routing import usable_servers
from pollenthread.core import routing_config
from pollenthread.core.admission import (fleet_demand, levels, send_allowance)
from pollenthread.core.routing import room_forecast
from pollenthread.ports import clock

__all__ = ['ServiceObserver', 'ServiceView', 'first_event_s']

# Bounds the work of recomputing the room for each request of a burst.
_VIEW_TTL_S = 0.02
_PASSES_TO_FIRST_EVENT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """The room, the demand and the levels of one service.

    Attributes:
        config: the configuration in force.
        levels: the levels of importance of its requests.
        forecast: the room at the servers that this host knows.
        queued: the requests in the queues of these servers.
        last_slots: the servers that have a free slot.
        demand: the demand of all hosts.
        at: the monotonic seconds at which it was true.
    """

    config: routing_config.RoutingConfig
    levels: levels.ServiceLevels
    forecast: room_forecast.RoomForecast
    queued: float
    last_slots: int
    demand: fleet_demand.FleetDemand
    at: float

    @property
    def late_class(self) -> int:
        """The class of requests that are late in any case."""
        return self.levels.count

    def level_of(self, job: request_job.RequestJob) -> int:
        """Returns the level of a request by the configuration in force."""
        route = routing_config.find_route(self.config, job.request.host,
                                          job.request.path) or job.route
        workspace = job.workspace
        if self.config.workspaces_by_api_key is not None:
            workspace = self.config.workspaces_by_api_key.get(
                job.request.api_key or '', workspace)
        return self.levels.level_of(levels.configured_priority(
            route, workspace))

    def room(self, class_index: int) -> send_allowance.Room:
        """Returns the room for one class of requests."""
        return send_allowance.estimate_room(self.forecast,
                                            self.demand,
                                            queued=self.queued,
                                            last_slots=self.last_slots,
                                            class_index=class_index)

    def keeps_last_slots(self, class_index: int) -> bool:
        """Whether a class leaves the last free slot of each server alone."""
        return send_allowance.keeps_last_slots(self.forecast, self.demand,
                                               class_index)

    def log_fields(self, room: send_allowance.Room) -> dict[str, Any]:
        """Returns the inputs of a decision, with their age, for the log."""
        return {
            'free': round(room.free_slots, 1),
            'queued': round(room.queued, 1),
            'head_room': round(room.head_room, 1),
            'room': round(room.slots, 1),
            'share': round(room.own_share, 3),
            'frees_per_s': round(room.frees_per_s, 1),
            'waiting': [round(count, 1) for count in self.demand.waiting],
            'news_age_s': round(self.forecast.age_s, 3),
            'demand_age_s': round(self.demand.age_s, 3)
        }


class ServiceObserver:
    """Gives the current view of one service."""

    def __init__(self, *, service: str, state: serving_state.ServingState,
                 usable: usable_servers.UsableServers,
                 time: clock.Clock) -> None:
        self._service = service
        self._state = state
        self._usable = usable
        self._clock = time
        self._view: ServiceView | None = None

    def current(self, job: request_job.RequestJob) -> ServiceView:
        """Returns the view of now.

        Args:
            job: a request of the service, whose response is taken as typical.
        """
        now = self._clock.monotonic()
        config = self._state.config
        assert config is not None
        view = self._view
        if (view is None or now - view.at >= _VIEW_TTL_S or
                view.config is not config):
            known = view.levels if view and view.config is config else None
            view = self._view = self._observe(job, config, known, now)
        return view

    def _observe(self, job: request_job.RequestJob,
                 config: routing_config.RoutingConfig,
                 known_levels: levels.ServiceLevels | None,
                 now: float) -> ServiceView:
        service_levels = known_levels or levels.levels_by_service(config).get(
            self._service, levels.ServiceLevels())
        engine = config.services_by_name[self._service].engine
        assert engine is not None
        servers = self._usable.unlimited(self._service)
        loads = self._state.server_loads
        return ServiceView(
            config=config,
            levels=service_levels,
            forecast=loads.forecast(servers,
                                    passes=engine.mean_output_tokens /
                                    engine.steps_per_pass,
                                    max_gap_s=job.route.max_gap_s,
                                    engine=engine,
                                    now=now),
            queued=sum(
                max(0.0,
                    loads.load(server.id, now) - server.slots)
                for server in servers),
            last_slots=sum(
                loads.load(server.id, now) + 1 <= server.slots
                for server in servers),
            demand=self._state.demand.of_fleet(
                self._service,
                classes=service_levels.count + 1,
                hosts=self._state.entry_host_count,
                now=now),
            at=now)


def first_event_s(engine: routing_config.EngineProfile) -> float:
    """Returns the seconds from the start of a stream to its first event."""
    step_s = engine.base_step_s + engine.slots * engine.step_s_per_sequence
    return (engine.mean_prompt_tokens / engine.prefill_tokens_per_s +
            _PASSES_TO_FIRST_EVENT * engine.steps_per_pass * step_s)
