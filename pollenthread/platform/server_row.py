"""Decodes rows of the platform's table of servers."""

import json

import result

from pollenthread.core import server_registry
from pollenthread.platform import field_reader, wire_names

__all__ = ['decode']


def decode(server_id: str,
           data: bytes) -> result.Result[server_registry.Server, str]:
    """Decodes the value of one row.

    Args:
        server_id: id of the server, which is the key of the row.
        data: value of the row, a JSON object.

    Returns:
        The server, or a description of the error if the row is invalid.
    """
    try:
        entry = field_reader.FieldReader(json.loads(data))
        address = entry.get_str('address')
        host, _, port = address.rpartition(':')
        if not host or not 0 < int(port) < 65536:
            return result.Err(f'invalid address {address!r}')
        return result.Ok(
            server_registry.Server(
                id=server_id,
                service=entry.get_str('service'),
                address=address,
                # The platform's term for a data centre is "zone".
                data_centre=entry.get_str('zone'),
                slots=max(1, entry.get_int('slots', 1)),
                state=wire_names.SERVER_STATE_BY_NAME[entry.get_str('state')],
                born_ms=entry.get_int('born', 0)))
    except (ValueError, KeyError, RecursionError) as error:
        return result.Err(str(error))
