"""Estimates the room at servers from what is known of their load."""

import statistics
from collections.abc import Iterable, Sequence

from pollenthread.core import routing_config, server_registry
from pollenthread.core.routing import known_loads, pass_model, room_forecast

__all__ = ['forecast', 'mean_pass_s']

# Duration of a request whose response is short.
_SHORT_REQUEST_S = 0.1


def forecast(loads: known_loads.KnownLoads,
             servers: Iterable[server_registry.Server], *, passes: float,
             max_gap_s: float, engine: routing_config.EngineProfile | None,
             now: float) -> room_forecast.RoomForecast:
    """Returns the room of some servers for further requests.

    Servers without a recent report count as unknown.

    Args:
        loads: what is known of their load.
        servers: the servers.
        passes: passes that a response is expected to take; 0 if it is
            short.
        max_gap_s: longest allowed time between events, in seconds; 0 if
            unlimited.
        engine: the profile of their engine, or None.
        now: monotonic seconds.
    """
    all_servers = tuple(servers)
    known = [s for s in all_servers if loads.get(s.id).is_known(now)]
    stretch_by_group = _stretch_by_group(loads, known, engine)
    rooms = []
    for server in known:
        stretch = stretch_by_group.get(loads.get(server.id).group)
        slots = float(server.slots)
        if engine and max_gap_s and stretch:
            slots = pass_model.slots_within_gap(engine,
                                                slots=server.slots,
                                                stretch=stretch,
                                                max_gap_s=max_gap_s)
        rooms.append(_room(loads, server, slots, passes, now))
    return room_forecast.add_rooms(rooms, len(all_servers))


def mean_pass_s(loads: known_loads.KnownLoads,
                servers: Sequence[server_registry.Server], now: float) -> float:
    """Returns the mean duration of a pass of some servers in seconds."""
    return statistics.fmean(
        loads.estimate(s, now).pass_or_default_s() for s in servers)


def _stretch_by_group(
        loads: known_loads.KnownLoads,
        servers: Sequence[server_registry.Server],
        engine: routing_config.EngineProfile | None) -> dict[str, float]:
    if engine is None:
        return {}
    running_by_group: dict[str, list[float]] = {}
    for server in servers:
        load = loads.get(server.id)
        running_by_group.setdefault(load.group, []).append(load.running)
    return loads.paces.stretch_by_group(engine, running_by_group)


def _room(loads: known_loads.KnownLoads, server: server_registry.Server,
          slots: float, passes: float, now: float) -> room_forecast.ServerRoom:
    load = loads.get(server.id)
    estimate = loads.estimate(server, now)
    request_s = (passes *
                 estimate.pass_or_default_s() if passes else _SHORT_REQUEST_S)
    return room_forecast.ServerRoom(
        slots=slots,
        load=estimate.load,
        frees_per_s=min(estimate.load, server.slots) / request_s,
        is_available=(load.is_accepting(now) and
                      not loads.stalled_s(server.id, now)),
        age_s=now - load.reported_at)
