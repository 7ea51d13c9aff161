"""Settings of a process, and documents of targets, read from YAML."""

import pathlib
from collections.abc import Mapping
from typing import Annotated, Any, Literal

import pydantic
import yaml

from pollenthread.app import targets_document
from pollenthread.core import signing

__all__ = [
    'AgentSettings', 'EntrySettings', 'OrderKeySettings', 'PlatformSettings',
    'UpstreamSettings', 'load_process', 'load_targets', 'load_yaml'
]

_Address = Annotated[str, pydantic.Field(pattern=r'^[0-9.]+:[0-9]{1,5}$')]


class PlatformSettings(targets_document.Strict):
    """Where the platform's services are."""

    table: _Address
    object_store: _Address
    host_list: _Address


class OrderKeySettings(targets_document.Strict):
    """A key that signs orders; the first of a list signs, all are valid."""

    id: targets_document.Name
    secret: Annotated[str, pydantic.Field(min_length=16)]


class _ProcessSettings(targets_document.Strict):
    """What every process is told."""

    host: targets_document.Name
    data_centre: targets_document.Name
    region: targets_document.Name
    links: _Address
    admin: _Address
    platform: PlatformSettings
    order_keys: list[OrderKeySettings] = []

    @property
    def key_ring(self) -> signing.KeyRing:
        """The keys that sign orders and check them."""
        return signing.KeyRing(
            tuple(
                signing.Key(key.id, key.secret.encode())
                for key in self.order_keys))


class EntrySettings(_ProcessSettings):
    """Settings of an entry host."""

    role: Literal['entry']
    callers: _Address


class UpstreamSettings(targets_document.Strict):
    """The engine or plain service beside an agent."""

    kind: Literal['engine', 'service']
    name: targets_document.Name
    address: _Address
    models: list[targets_document.Name] = []


class AgentSettings(_ProcessSettings):
    """Settings of an agent."""

    role: Literal['agent']
    upstream: UpstreamSettings


class _ProcessDocument(
        pydantic.RootModel[Annotated[EntrySettings | AgentSettings,
                                     pydantic.Field(discriminator='role')]]):
    """Either kind of settings."""


def load_process(path: pathlib.Path) -> EntrySettings | AgentSettings:
    """Reads the settings of one process.

    Raises:
        InvalidDocument: the file cannot be read or is not valid.
    """
    try:
        return _ProcessDocument.model_validate(load_yaml(path)).root
    except pydantic.ValidationError as error:
        raise targets_document.InvalidDocument(
            targets_document.explain(str(path), error)) from error


def load_targets(path: pathlib.Path) -> targets_document.TargetsModel:
    """Reads a document of targets.

    Raises:
        InvalidDocument: the file cannot be read or is not valid.
    """
    return targets_document.parse_targets(load_yaml(path), str(path))


def load_yaml(path: pathlib.Path) -> Any:
    """Reads a YAML file with keys and values at its top.

    Raises:
        InvalidDocument: the file cannot be read or is not valid.
    """
    try:
        document = yaml.safe_load(path.read_text('utf-8'))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise targets_document.InvalidDocument(f'{path}: {error}') from error
    if not isinstance(document, Mapping):
        raise targets_document.InvalidDocument(
            f'{path}: expected keys and values at the top')
    return document
