"""Writes and reads the messages and the kept state of a map switch."""

from typing import Any

import pydantic

from pollenthread.core import messages, switch

__all__ = ['SwitchMessage', 'decode', 'decode_rank', 'encode', 'encode_rank']

SwitchMessage = (switch.Query | switch.Prepare | switch.Arm | switch.Decide |
                 switch.Name | switch.Report | switch.Prepared | switch.Armed |
                 switch.Noted | switch.Join | switch.Ask)

_RANK: pydantic.TypeAdapter[switch.Rank] = pydantic.TypeAdapter(switch.Rank)
_ADAPTER_BY_KIND: dict[str, pydantic.TypeAdapter[Any]] = {
    cls.__name__: pydantic.TypeAdapter(cls)
    for cls in (switch.Query, switch.Prepare, switch.Arm, switch.Decide,
                switch.Name, switch.Report, switch.Prepared, switch.Armed,
                switch.Noted, switch.Join, switch.Ask)
}


def encode(group: str, message: SwitchMessage) -> messages.Group:
    """Writes one message of a group."""
    kind = type(message).__name__
    return messages.Group(group, kind,
                          _ADAPTER_BY_KIND[kind].dump_json(message))


def decode(message: messages.Group) -> SwitchMessage | None:
    """Reads one message; None when it is not one."""
    adapter = _ADAPTER_BY_KIND.get(message.kind)
    if adapter is None:
        return None
    try:
        value: SwitchMessage = adapter.validate_json(message.body)
        return value
    except pydantic.ValidationError:
        return None


def encode_rank(rank: switch.Rank) -> bytes:
    """Writes what an engine keeps."""
    return _RANK.dump_json(rank)


def decode_rank(state: bytes) -> switch.Rank:
    """Reads what an engine keeps."""
    return _RANK.validate_json(state)
