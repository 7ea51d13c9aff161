"""Reads the settings file that the platform lays for each process."""

import dataclasses
import os
import pathlib
import tomllib

import pydantic

__all__ = ['InvalidSettings', 'ProcessSettings', 'load']

_PATH_VARIABLE = 'POLLENTHREAD_CONFIG'
_DEFAULT_PATH = '/etc/pollenthread/settings.toml'
_MS_PER_S = 1000.0


class InvalidSettings(ValueError):
    """The settings file cannot be used."""


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
    """What the platform tells a process.

    Attributes:
        host: the name of its host.
        ip: the address that it binds.
        data_centre: where it is.
        region: the region of its data centre.
        region_by_data_centre: all data centres.
        peer_ports: the first and last port free for links between hosts.
        seeds: peer addresses of a few entry hosts, perhaps out of date.
        caller_address: where callers connect; empty without.
        ready_address: where readiness is asked; empty without.
        directory_address: where callers ask for addresses; empty without.
        control_address: where peers connect; empty without.
        engine_address: the server beside an agent; empty without.
        engine_service: the service of that server.
        store_address: the platform's store.
        drain_s: seconds in which a leaving server must stop getting work.
        grace_s: seconds from SIGTERM to SIGKILL.
        config_s: seconds in which a configuration must be in force.
        max_ttl_s: seconds that callers keep an address answer at most.
        retry_ratio: repeats allowed for each request of a service.
        retry_window_s: the window in which repeats are counted.
        retry_extra: repeats allowed beyond the ratio in a window.
        stall_s: seconds that a group waits for a lost rank.
    """

    host: str
    ip: str
    data_centre: str
    region: str
    region_by_data_centre: dict[str, str]
    peer_ports: tuple[int, int]
    seeds: tuple[str, ...]
    caller_address: str
    ready_address: str
    directory_address: str
    control_address: str
    engine_address: str
    engine_service: str
    store_address: str
    drain_s: float
    grace_s: float
    config_s: float
    max_ttl_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    stall_s: float


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore')


class _Listen(_Model):
    front: str = ''
    ready: str = ''
    control: str = ''
    directory: str = ''


class _Bounds(_Model):
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    config_ms: float = 2000.0
    ttl_max_s: float = 5.0
    budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    # Repeats beyond the ratio, in one window, by all hosts together.
    budget_extra_tries: float = 0.0
    stall_ms: float = 1500.0


class _Platform(_Model):
    address: str


class _File(_Model):
    node_name: str
    ip: str
    zone: str
    region: str = ''
    internal_ports: tuple[int, int]
    seeds: list[str] = []
    # The address of the model server on the same host.
    app: str = ''
    service: str = ''
    zones: dict[str, str] = {}
    listen: _Listen = _Listen()
    bounds: _Bounds = _Bounds()
    platform: _Platform


def load(path: pathlib.Path | None = None) -> ProcessSettings:
    """Reads and checks the file.

    Raises:
        InvalidSettings: with the file's name and what is wrong.
    """
    if path is None:
        path = pathlib.Path(os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH))
    try:
        found = _File.model_validate(tomllib.loads(path.read_text('utf-8')))
    except (OSError, ValueError) as error:
        raise InvalidSettings(f'{path}: {error}') from error
    return _settings(found)


def _settings(found: _File) -> ProcessSettings:
    bounds = found.bounds
    return ProcessSettings(host=found.node_name,
                           ip=found.ip,
                           data_centre=found.zone,
                           region=found.region,
                           region_by_data_centre=dict(found.zones),
                           peer_ports=found.internal_ports,
                           seeds=tuple(found.seeds),
                           caller_address=found.listen.front,
                           ready_address=found.listen.ready,
                           directory_address=found.listen.directory,
                           control_address=found.listen.control,
                           engine_address=found.app,
                           engine_service=found.service,
                           store_address=found.platform.address,
                           drain_s=bounds.drain_ms / _MS_PER_S,
                           grace_s=bounds.grace_s,
                           config_s=bounds.config_ms / _MS_PER_S,
                           max_ttl_s=bounds.ttl_max_s,
                           retry_ratio=bounds.budget_ratio,
                           retry_window_s=bounds.budget_window_s,
                           retry_extra=bounds.budget_extra_tries,
                           stall_s=bounds.stall_ms / _MS_PER_S)
