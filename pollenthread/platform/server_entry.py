"""Decodes entries of the platform's list of servers."""

import json

import result

from pollenthread.core import server_registry
from pollenthread.platform import fields, names

__all__ = ['decode']


def decode(server_id: str, data: bytes) -> result.Result[server_registry.Server, str]:
    """Decodes one entry.

    Returns:
        The server, or why the entry names none.
    """
    try:
        entry = fields.Fields(json.loads(data))
        address = entry.text('address')
        host, _, port = address.rpartition(':')
        if not host or not 0 < int(port) < 65536:
            return result.Err(f'address {address!r}')
        return result.Ok(
            server_registry.Server(id=server_id,
                         service=entry.text('service'),
                         address=address,
                         data_centre=entry.text('zone'),
                         slots=max(1, entry.whole('slots', 1)),
                         state=names.STATE_WORDS[entry.text('state')],
                         born_ms=entry.whole('born', 0)))
    except (ValueError, KeyError, RecursionError) as error:
        return result.Err(str(error))
