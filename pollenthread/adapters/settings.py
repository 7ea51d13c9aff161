"""Reads and validates YAML files: process settings and targets documents."""

import difflib
import ipaddress
import pathlib
import ssl
from typing import Annotated, Literal

import pydantic

from pollenthread.adapters import link_tls, yaml_document
from pollenthread.app import targets_document, validation_errors
from pollenthread.core import operators, signing

__all__ = [
    'AgentSettings', 'EntrySettings', 'LinkSecurity', 'OperatorSettings',
    'OrderKeySettings', 'PlatformSettings', 'RankSettings', 'TraceSettings',
    'UpstreamSettings', 'validate_file', 'load_process_settings', 'load_targets'
]

_MAX_PORT = 65_535
_ADDRESS_PATTERN = r'^[0-9.]+:[0-9]{1,5}$'


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(':')
    ipaddress.IPv4Address(host)
    if int(port) > _MAX_PORT:
        raise ValueError(f'the port {port} is not between 0 and {_MAX_PORT}')
    return value


_Address = Annotated[str,
                     pydantic.Field(pattern=_ADDRESS_PATTERN),
                     pydantic.AfterValidator(_check_address)]


class PlatformSettings(targets_document.StrictModel):
    """Addresses of the platform's services.

    Attributes:
        table: `ip:port` of the transactional table.
        object_store: `ip:port` of the object store.
        host_list: `ip:port` of the host list.
    """

    table: _Address
    object_store: _Address
    host_list: _Address


class OrderKeySettings(targets_document.StrictModel):
    """A key for signing orders.

    Orders are signed with the first key of the list; signatures of all keys in
    the list are valid.

    Attributes:
        id: the id of the key.
        secret: the secret, at least 16 characters.
    """

    id: targets_document.Name
    secret: Annotated[str, pydantic.Field(min_length=16)]


class OperatorSettings(targets_document.StrictModel):
    """A person or tool that may use the administration port.

    Attributes:
        name: the name in the audit record.
        key_sha256: SHA-256 of the operator's key, in hexadecimal.
        workspaces: the workspaces that the operator may access; `*` is all
            workspaces and the hosts.
        may: whether the operator may only read or also make changes.
    """

    name: targets_document.Name
    key_sha256: Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')]
    workspaces: Annotated[list[targets_document.Name] | Literal['*'],
                          pydantic.Field(union_mode='left_to_right')]
    may: Literal['read', 'change'] = 'read'

    def to_operator(self) -> operators.Operator:
        """Converts the settings to the type of the core."""
        sees_all = self.workspaces == '*'
        return operators.Operator(
            name=self.name,
            key_sha256=self.key_sha256,
            workspaces=None if sees_all else frozenset(self.workspaces),
            may_change=self.may == 'change')


class LinkSecurity(targets_document.StrictModel):
    """Files for mutual TLS authentication of links.

    Attributes:
        certificate_file: this host's certificate, PEM.
        key_file: its private key, PEM.
        authority_file: the CA certificates for peer certificates, PEM.
    """

    certificate_file: str
    key_file: str
    authority_file: str

    def to_tls(self) -> link_tls.LinkTls:
        """Loads the files.

        Raises:
            InvalidDocument: the files cannot be loaded.
        """
        files = link_tls.LinkTlsFiles(
            certificate=pathlib.Path(self.certificate_file),
            key=pathlib.Path(self.key_file),
            authority=pathlib.Path(self.authority_file))
        try:
            return link_tls.LinkTls(files=files)
        except (OSError, ssl.SSLError) as error:
            raise targets_document.InvalidDocument(
                f'link_security: cannot load the files: {error}') from error


class TraceSettings(targets_document.StrictModel):
    """Settings of the trace export.

    Attributes:
        collector: `ip:port` of an OTLP/HTTP collector, or None.
        sample_per_thousand: the number of requests per thousand that are
            traced.
    """

    collector: _Address | None = None
    sample_per_thousand: Annotated[int, pydantic.Field(ge=0, le=1000)] = 10


class _ProcessSettings(targets_document.StrictModel):
    """Settings that all processes have.

    Attributes:
        host: the name of this host.
        data_centre: the data centre that the host is in.
        region: the region of the data centre.
        links: `ip:port` of the listener for links.
        admin: `ip:port` of the administration listener.
        platform: the addresses of the platform's services.
        order_keys: the keys for signing orders.
        operators: the operators of the administration port.
        link_security: the TLS files of links; without them, links do not use
            TLS.
    """

    host: targets_document.Name
    data_centre: targets_document.Name
    region: targets_document.Name
    links: _Address
    admin: _Address
    platform: PlatformSettings
    order_keys: list[OrderKeySettings] = []

    operators: list[OperatorSettings] = []
    link_security: LinkSecurity | None = None

    def load_link_tls(self) -> link_tls.LinkTls | None:
        """Loads the TLS contexts of links; None if links do not use TLS.

        Raises:
            InvalidDocument: the files cannot be loaded.
        """
        security = self.link_security
        return None if security is None else security.to_tls()

    @pydantic.model_validator(mode='after')
    def _check_distinct_addresses(self) -> '_ProcessSettings':
        key_by_address: dict[str, str] = {}
        for key in ('links', 'admin', 'callers'):
            address = getattr(self, key, None)
            if address is None or address.endswith(':0'):
                continue
            if address in key_by_address:
                raise ValueError(f'{key} and {key_by_address[address]} '
                                 f'both listen on {address}')
            key_by_address[address] = key
        return self

    @pydantic.field_validator('operators')
    @classmethod
    def _check_distinct_operators(
            cls, configured: list[OperatorSettings]) -> list[OperatorSettings]:
        targets_document.check_unique(
            [operator.name for operator in configured])
        targets_document.check_unique(
            [operator.key_sha256 for operator in configured])
        return configured

    @property
    def key_ring(self) -> signing.KeyRing:
        """The keys for signing and verifying orders."""
        return signing.KeyRing(
            tuple(
                signing.SigningKey(key.id, key.secret.encode())
                for key in self.order_keys))


class EntrySettings(_ProcessSettings):
    """Settings of an entry host.

    Attributes:
        role: always 'entry'.
        callers: `ip:port` of the listener for callers.
        account_interval_s: seconds between writes of the request accounting.
        traces: settings of the trace export.
    """

    role: Literal['entry']
    callers: _Address
    account_interval_s: Annotated[int, pydantic.Field(ge=1, le=600)] = 60
    traces: TraceSettings = TraceSettings()


class UpstreamSettings(targets_document.StrictModel):
    """The engine or plain service on the same host as the agent.

    Attributes:
        kind: whether it is a model engine or a plain service.
        name: the name of the engine or service.
        address: its `ip:port`.
        models: the models that it serves.
    """

    kind: Literal['engine', 'service']
    name: targets_document.Name
    address: _Address
    models: list[targets_document.Name] = []


class RankSettings(targets_document.StrictModel):
    """The rank on the same host as the agent.

    Attributes:
        group: the rank group's name.
        index: the rank's number in its group. The agent of rank 0 coordinates
            the map switches.
        size: the number of ranks in the group.
        address: `ip:port` at which the rank accepts orders.
    """

    group: targets_document.Name
    index: Annotated[int, pydantic.Field(ge=0, le=1023)]
    size: Annotated[int, pydantic.Field(ge=1, le=1024)]
    address: _Address

    @pydantic.model_validator(mode='after')
    def _check_index(self) -> 'RankSettings':
        if self.index >= self.size:
            raise ValueError(f'the index {self.index} is not below the size '
                             f'{self.size}')
        return self


class AgentSettings(_ProcessSettings):
    """Settings of an agent.

    Attributes:
        role: always 'agent'.
        upstream: the engine or service on the same host.
        rank: the rank on the same host, or None.
    """

    role: Literal['agent']
    upstream: UpstreamSettings
    rank: RankSettings | None = None


_MODEL_BY_ROLE: dict[str, type[EntrySettings] | type[AgentSettings]] = {
    'entry': EntrySettings,
    'agent': AgentSettings
}


def load_process_settings(path: pathlib.Path) -> EntrySettings | AgentSettings:
    """Reads the settings of one process.

    Raises:
        InvalidDocument: the file cannot be read or is not valid.
    """
    return _parse_process(yaml_document.load(path))


def load_targets(path: pathlib.Path) -> targets_document.TargetsModel:
    """Reads a targets document.

    Raises:
        InvalidDocument: the file cannot be read or is not valid.
    """
    document = yaml_document.load(path)
    return targets_document.parse_targets(document.value, document.name,
                                          document.line_of)


def validate_file(path: pathlib.Path) -> None:
    """Validates a settings file or a targets document.

    Raises:
        InvalidDocument: the file cannot be read or is not valid.
    """
    if 'workspaces' in yaml_document.load(path).value:
        load_targets(path)
    else:
        load_process_settings(path)


def _parse_process(
        document: yaml_document.YamlDocument) -> EntrySettings | AgentSettings:
    role = document.value.get('role')
    model = _MODEL_BY_ROLE.get(role) if isinstance(role, str) else None
    if model is None:
        raise targets_document.InvalidDocument(_role_error(document, role))
    try:
        return model.model_validate(document.value)
    except pydantic.ValidationError as error:
        raise targets_document.InvalidDocument(
            validation_errors.describe_errors(
                document.name, error, model=model,
                line_of=document.line_of)) from error


def _role_error(document: yaml_document.YamlDocument, role: object) -> str:
    allowed = f'(allowed: {", ".join(_MODEL_BY_ROLE)})'
    if 'role' in document.value:
        line = document.line_of(('role',))
        return f'{document.name}:{line}: role: found {role!r} {allowed}'
    keys = [str(key) for key in document.value]
    similar_keys = difflib.get_close_matches('role', keys, n=1)
    hint = f'; {similar_keys[0]} is not a known key' if similar_keys else ''
    return f'{document.name}:1: role: the key is missing {allowed}{hint}'
