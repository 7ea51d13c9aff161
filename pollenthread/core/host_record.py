"""The record with which a host registers in the platform's store."""

import dataclasses
import enum
import json

import result

from pollenthread.core import socket_address

__all__ = ['HostRecord', 'Role', 'decode', 'encode']


class Role(enum.Enum):
    """The role of a host."""

    ENTRY = 'entry'
    AGENT = 'agent'


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """The registration of one host.

    Attributes:
        host: the host's name.
        role: the role of the host.
        data_centre: the data centre that it runs in.
        peer_address: address for other hosts, for both TCP and UDP.
        caller_address: address for callers; empty for an agent.
        engine_address: address of the server next to an agent; empty for an
            entry host.
        service: the service of that server; empty for an entry host.
    """

    host: str
    role: Role
    data_centre: str
    peer_address: str
    caller_address: str = ''
    engine_address: str = ''
    service: str = ''


def encode(record: HostRecord) -> bytes:
    """Encodes a record as JSON."""
    fields = {**dataclasses.asdict(record), 'role': record.role.value}
    return json.dumps(fields, sort_keys=True).encode()


def decode(data: bytes) -> result.Result[HostRecord, str]:
    """Decodes a record from JSON.

    Returns:
        The record, or a description of the error.
    """
    try:
        fields = json.loads(data)
        names = [field.name for field in dataclasses.fields(HostRecord)]
        string_fields = {
            name: str(fields[name]) for name in names if name != 'role'
        }
        ''.join(string_fields.values()).encode()
        record = HostRecord(role=Role(fields['role']), **string_fields)
        for address in (record.peer_address, record.caller_address,
                        record.engine_address):
            if address and not socket_address.is_socket_address(address):
                return result.Err(f'invalid address {address!r}')
        if not record.peer_address:
            return result.Err('no peer address')
        return result.Ok(record)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return result.Err(repr(error))
