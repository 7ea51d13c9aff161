"""Decodes entries of the platform's list of servers."""

import json

import pydantic
import result

from pollenthread.core import fleet
from pollenthread.platform import names

__all__ = ['decode']


class _Entry(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    born: int = 0


def decode(server_id: str, data: bytes) -> result.Result[fleet.Server, str]:
    """Decodes one entry.

    Returns:
        The server, or why the entry names none.
    """
    try:
        entry = _Entry.model_validate(json.loads(data))
        host, _, port = entry.address.rpartition(':')
        state = names.STATE_WORDS[entry.state]
        if not host or not 0 < int(port) < 65536:
            return result.Err(f'address {entry.address!r}')
    except (ValueError, KeyError, RecursionError) as error:
        return result.Err(str(error))
    return result.Ok(
        fleet.Server(id=server_id,
                     service=entry.service,
                     address=entry.address,
                     data_centre=entry.zone,
                     slots=max(1, entry.slots),
                     state=state,
                     born_ms=entry.born))
