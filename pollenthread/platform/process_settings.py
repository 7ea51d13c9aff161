"""Reads the TOML settings file that the platform provides for a process.

The path of the file is in the environment variable POLLENTHREAD_CONFIG.
"""

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
_DEFAULT_MEMORY_MB = 256.0
_DEFAULT_MAX_DESCRIPTORS = 4096
_BYTES_PER_MEGABYTE = 1_000_000.0
_BYTES_PER_MEGABIT = 125_000.0


class SettingsError(ValueError):
    """The settings file cannot be read or is invalid."""


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
    """Settings of a process. Addresses have the form `ip:port`.

    Attributes:
        host: name of the host.
        ip: IP address that the process binds for its peers.
        data_centre: data centre of the host.
        region: region of the data centre.
        region_by_data_centre: regions of all data centres.
        peer_ports: first and last port available for connections of peers.
        seeds: peer addresses of some entry hosts, possibly out of date.
        caller_address: address that serves callers; empty if unused.
        ready_address: address of the readiness check; empty if unused.
        directory_address: address that serves the list of entry hosts to
            callers; empty if unused.
        control_address: additional address that serves peers; empty if unused.
        engine_address: address of the model server on the same host; empty if
            there is none.
        engine_service: service of that model server.
        store_address: address of the platform's store.
        drain_s: time limit in seconds within which a draining server must stop
            receiving requests.
        grace_s: time from SIGTERM to SIGKILL, in seconds.
        config_s: time limit in seconds within which a new configuration must be
            in effect.
        max_ttl_s: maximum time in seconds that callers cache the addresses of
            entry hosts.
        retry_ratio: allowed retries per request of a service.
        retry_window_s: time window in seconds in which retries are counted.
        retry_extra: allowed retries per window in addition to the ratio, for
            all hosts together.
        warm_up_factor: requests in a second that a server may get, relative to
            what it bears while it warms up.
        warm_up_extra: further requests in a second that it may get.
        stall_s: time in seconds that a group waits for a lost rank.
        link_bytes_per_s: network bandwidth of the host, in bytes per second.
        memory_bytes: memory that the process may use.
        max_descriptors: descriptors that the process may have open.
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
    warm_up_factor: float
    warm_up_extra: float
    stall_s: float
    link_bytes_per_s: float
    memory_bytes: float
    max_descriptors: int


def load(path: pathlib.Path | None = None) -> ProcessSettings:
    """Reads and validates the settings file.

    Args:
        path: path of the file; None for the path in POLLENTHREAD_CONFIG or,
            without that variable, the default path.

    Raises:
        SettingsError: the file cannot be read or is invalid; the message
            contains its path.
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
    limits = document.get_object('limits')
    return ProcessSettings(
        host=document.get_str('node_name'),
        ip=document.get_str('ip'),
        # The platform's term for a data centre is "zone".
        data_centre=document.get_str('zone'),
        region=document.get_str('region', ''),
        region_by_data_centre=document.get_str_by_name('zones'),
        peer_ports=_decode_port_range(document),
        seeds=document.get_strs('seeds'),
        caller_address=listen.get_str('front', ''),
        ready_address=listen.get_str('ready', ''),
        directory_address=listen.get_str('directory', ''),
        control_address=listen.get_str('control', ''),
        # Address of the model server on the same host.
        engine_address=document.get_str('app', ''),
        engine_service=document.get_str('service', ''),
        store_address=document.get_object('platform').get_str('address'),
        drain_s=bounds.get_float('drain_ms', 2000.0) / _MS_PER_S,
        grace_s=bounds.get_float('grace_s', 8.0),
        config_s=bounds.get_float('config_ms', 2000.0) / _MS_PER_S,
        max_ttl_s=bounds.get_float('ttl_max_s', 5.0),
        retry_ratio=bounds.get_float('budget_ratio', 0.2),
        retry_window_s=bounds.get_float('budget_window_s', 10.0),
        # Per window and for all hosts together.
        retry_extra=bounds.get_float('budget_extra_tries', 0.0),
        warm_up_factor=bounds.get_float('cold_over', 1.0),
        warm_up_extra=bounds.get_float('cold_slack', 0.0),
        stall_s=bounds.get_float('stall_ms', 1500.0) / _MS_PER_S,
        link_bytes_per_s=limits.get_float('link_mbps', _DEFAULT_LINK_MBPS) *
        _BYTES_PER_MEGABIT,
        memory_bytes=limits.get_float('memory_mb', _DEFAULT_MEMORY_MB) *
        _BYTES_PER_MEGABYTE,
        max_descriptors=limits.get_int('max_fds', _DEFAULT_MAX_DESCRIPTORS))


def _decode_port_range(document: field_reader.FieldReader) -> tuple[int, int]:
    first, last = document.get_ints('internal_ports', count=2)
    return first, last
