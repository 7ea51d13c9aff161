"""What each host of a deployment tells the others about itself."""

import dataclasses
import enum
import json

import result

__all__ = ['HostRecord', 'Role', 'decode', 'encode']


class Role(enum.Enum):
    """What runs on a host."""

    ENTRY = 'entry'
    AGENT = 'agent'


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """One host, as registered in the platform's store.

    Attributes:
        host: its name.
        role: what runs there.
        data_centre: where it is.
        peer_address: where peers reach it, by TCP and UDP.
        caller_address: where callers connect; empty for an agent.
        engine_address: the server beside an agent; empty for an entry host.
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
    """The bytes of a record's row."""
    fields = {**dataclasses.asdict(record), 'role': record.role.value}
    return json.dumps(fields, sort_keys=True).encode()


def decode(data: bytes) -> result.Result[HostRecord, str]:
    """Reads a record's row.

    Returns:
        The record, or why the bytes are none.
    """
    try:
        fields = json.loads(data)
        names = [field.name for field in dataclasses.fields(HostRecord)]
        texts = {name: str(fields[name]) for name in names if name != 'role'}
        record = HostRecord(role=Role(fields['role']), **texts)
        if not record.peer_address.rpartition(':')[2].isdecimal():
            return result.Err(f'peer address {record.peer_address!r}')
        return result.Ok(record)
    except (ValueError, KeyError, TypeError) as error:
        return result.Err(repr(error))
