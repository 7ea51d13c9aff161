"""Decodes rows of the platform's table of servers."""

import json

import result

from pollenthread.core import server_registry, socket_address
from pollenthread.platform import field_reader, wire_names

__all__ = ['decode']

# Load reports have 16 bits for it.
_MAX_SLOTS = 65_535
# In the year 5138. An entry with a greater start time would seem to replace
# every other server at its address.
_MAX_BORN_MS = 10**14
_MS_PER_S = 1000
_MAX_WARM_UP_MS = 600_000


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
        if not socket_address.is_socket_address(address):
            return result.Err(f'invalid address {address!r}')
        return result.Ok(
            server_registry.Server(
                id=server_id,
                service=entry.get_str('service'),
                address=address,
                # The platform's term for a data centre is "zone".
                data_centre=entry.get_str('zone'),
                slots=max(1, entry.get_int('slots', 1, least=0,
                                           most=_MAX_SLOTS)),
                state=wire_names.SERVER_STATE_BY_NAME[entry.get_str('state')],
                born_ms=entry.get_int('born', 0, least=0, most=_MAX_BORN_MS),
                warm_up_s=_decode_warm_up_s(entry)))
    except (ValueError, KeyError, RecursionError) as error:
        return result.Err(str(error))


def _decode_warm_up_s(entry: field_reader.FieldReader) -> float:
    remaining_ms = entry.get_float('cold_remaining_ms', 0.0)
    return max(0.0, min(remaining_ms, _MAX_WARM_UP_MS)) / _MS_PER_S
