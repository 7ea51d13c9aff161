"""Reads the settings file that the platform lays for each process."""

import dataclasses
import os
import pathlib
import tomllib

from pollenthread.platform import field_reader

__all__ = ['SettingsError', 'ProcessSettings', 'load']

_PATH_VARIABLE = 'POLLENTHREAD_CONFIG'
_DEFAULT_PATH = '/etc/pollenthread/settings.toml'
_MS_PER_S = 1000.0
_DEFAULT_LINK_MBPS = 10.0
_BYTES_PER_MEGABIT = 125_000.0


class SettingsError(ValueError):
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
        link_bytes_per_s: the speed of the host's link.
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
    link_bytes_per_s: float


def load(path: pathlib.Path | None = None) -> ProcessSettings:
    """Reads and checks the file.

    Raises:
        InvalidSettings: with the file's name and what is wrong.
    """
    if path is None:
        path = pathlib.Path(os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH))
    try:
        return _decode_settings(
            field_reader.FieldReader(tomllib.loads(path.read_text('utf-8'))))
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error


def _decode_settings(document: field_reader.FieldReader) -> ProcessSettings:
    bounds = document.get_object('bounds')
    listen = document.get_object('listen')
    return ProcessSettings(
        host=document.get_str('node_name'),
        ip=document.get_str('ip'),
        data_centre=document.get_str('zone'),
        region=document.get_str('region', ''),
        region_by_data_centre=document.get_str_by_name('zones'),
        peer_ports=_decode_port_range(document),
        seeds=document.get_strs('seeds'),
        caller_address=listen.get_str('front', ''),
        ready_address=listen.get_str('ready', ''),
        directory_address=listen.get_str('directory', ''),
        control_address=listen.get_str('control', ''),
        # The address of the model server on the same host.
        engine_address=document.get_str('app', ''),
        engine_service=document.get_str('service', ''),
        store_address=document.get_object('platform').get_str('address'),
        drain_s=bounds.get_float('drain_ms', 2000.0) / _MS_PER_S,
        grace_s=bounds.get_float('grace_s', 8.0),
        config_s=bounds.get_float('config_ms', 2000.0) / _MS_PER_S,
        max_ttl_s=bounds.get_float('ttl_max_s', 5.0),
        retry_ratio=bounds.get_float('budget_ratio', 0.2),
        retry_window_s=bounds.get_float('budget_window_s', 10.0),
        # Repeats beyond the ratio, in one window, by all hosts together.
        retry_extra=bounds.get_float('budget_extra_tries', 0.0),
        stall_s=bounds.get_float('stall_ms', 1500.0) / _MS_PER_S,
        link_bytes_per_s=document.get_object('limits').get_float(
            'link_mbps', _DEFAULT_LINK_MBPS) * _BYTES_PER_MEGABIT)


def _decode_port_range(document: field_reader.FieldReader) -> tuple[int, int]:
    first, last = document.get_ints('internal_ports', count=2)
    return first, last
