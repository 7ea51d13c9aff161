"""Encodes the messages and the stored state of map switches."""

from typing import Any

import pydantic

from pollenthread.core import messages, switch

__all__ = ['SwitchMessage', 'decode', 'decode_rank', 'encode', 'encode_rank']

SwitchMessage = (switch.Query | switch.Prepare | switch.Arm | switch.Decide |
                 switch.Name | switch.Report | switch.Prepared | switch.Armed |
                 switch.Noted | switch.Join | switch.Ask)

_RANK_ADAPTER: pydantic.TypeAdapter[switch.Rank] = pydantic.TypeAdapter(
    switch.Rank)
_ADAPTER_BY_KIND: dict[str, pydantic.TypeAdapter[Any]] = {
    cls.__name__: pydantic.TypeAdapter(cls)
    for cls in (switch.Query, switch.Prepare, switch.Arm, switch.Decide,
                switch.Name, switch.Report, switch.Prepared, switch.Armed,
                switch.Noted, switch.Join, switch.Ask)
}


def encode(group: str, message: SwitchMessage) -> messages.Group:
    """Encodes a message to a group."""
    kind = type(message).__name__
    return messages.Group(group, kind,
                          _ADAPTER_BY_KIND[kind].dump_json(message))


def decode(message: messages.Group) -> SwitchMessage | None:
    """Decodes a message; None when its kind is unknown or it is invalid."""
    adapter = _ADAPTER_BY_KIND.get(message.kind)
    if adapter is None:
        return None
    try:
        value: SwitchMessage = adapter.validate_json(message.body)
        return value
    except pydantic.ValidationError:
        return None


def encode_rank(rank: switch.Rank) -> bytes:
    """Encodes the state that an engine stores for a rank."""
    return _RANK_ADAPTER.dump_json(rank)


def decode_rank(state: bytes) -> switch.Rank:
    """Decodes the state that an engine stores for a rank."""
    return _RANK_ADAPTER.validate_json(state)
