"""Encodes peer messages with Cap'n Proto.

Fields of the data classes and of peer.capnp have the same names.
"""

import dataclasses
import enum
import pathlib
import struct
import typing
from typing import Any, TypeVar

import capnp

from pollenthread.core import peer_messages

__all__ = [
    'PeerMessageDecodeError', 'decode', 'decode_datagram', 'encode',
    'encode_datagram'
]

_schema = capnp.load(str(pathlib.Path(__file__).with_name('peer.capnp')))
_DATAGRAM_TYPES = (peer_messages.EntryBeat, peer_messages.ServerLoad,
                   peer_messages.RankState, peer_messages.ExpertChoices,
                   peer_messages.DutyBeat, peer_messages.RankOrder)

_WIDE = 2
_MAX_NARROW = 255
_PLAIN_TYPES = (str, int, bool)

_fields_by_type: dict[type[Any], tuple[tuple[str, str, Any], ...]] = {}

_T = TypeVar('_T')


class PeerMessageDecodeError(Exception):
    """The bytes are not a message of the schema."""


def _camel(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.capitalize() for part in rest)


_UNION_NAME_BY_TYPE = {
    kind: kind.__name__[0].lower() + kind.__name__[1:]
    for kind in _DATAGRAM_TYPES
}
_TYPE_BY_UNION_NAME = {name: kind for kind, name in _UNION_NAME_BY_TYPE.items()}


def encode(message: Any) -> bytes:
    """Encodes one data class."""
    builder = getattr(_schema, type(message).__name__).new_message()
    _fill(builder, message)
    data: bytes = builder.to_bytes_packed()
    return data


def encode_datagram(message: Any) -> bytes:
    """Encodes one data class with its type."""
    builder = _schema.Datagram.new_message()
    _fill(builder.init(_UNION_NAME_BY_TYPE[type(message)]), message)
    data: bytes = builder.to_bytes_packed()
    return data


def decode(kind: type[_T], data: bytes) -> _T:
    """Decodes one data class.

    Raises:
        MalformedMessage: the bytes are not such a message.
    """
    try:
        reader = getattr(_schema, kind.__name__).from_bytes_packed(data)
        found: _T = _read(kind, reader)
        return found
    except (capnp.KjException, ValueError, KeyError) as error:
        raise PeerMessageDecodeError(str(error)) from error


def decode_datagram(data: bytes) -> Any:
    """Decodes a data class with its type.

    Raises:
        MalformedMessage: the bytes are not such a message.
    """
    try:
        reader = _schema.Datagram.from_bytes_packed(data)
        name = str(reader.which())
        return _read(_TYPE_BY_UNION_NAME[name], getattr(reader, name))
    except (capnp.KjException, ValueError, KeyError) as error:
        raise PeerMessageDecodeError(str(error)) from error


def _fill(builder: Any, message: Any) -> None:
    for field, name, hint in _fields(type(message)):
        value = getattr(message, field)
        if hint == peer_messages.Layouts:
            setattr(builder, name, _pack_layouts(value))
        elif dataclasses.is_dataclass(value):
            _fill(builder.init(name), value)
        elif isinstance(value, tuple) and value and dataclasses.is_dataclass(
                value[0]):
            items = builder.init(name, len(value))
            for item, found in zip(items, value):
                _fill(item, found)
        elif isinstance(value, enum.Enum):
            setattr(builder, name, value.value)
        elif isinstance(value, tuple):
            setattr(builder, name, _lists(value))
        else:
            setattr(builder, name, value)


def _lists(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_lists(item) for item in value]
    return value


def _pack_layouts(layouts: peer_messages.Layouts) -> bytes:
    """A map in few bytes: an order goes to every rank over one link."""
    if not layouts:
        return b''
    held = [experts for ranks in layouts for experts in ranks]
    numbers = [expert for experts in held for expert in experts]
    is_wide = max(numbers, default=0) > _MAX_NARROW
    head = struct.pack('<HHB', len(layouts), len(layouts[0]),
                       _WIDE if is_wide else 1)
    sizes = bytes(len(experts) for experts in held)
    form = f'<{len(numbers)}{"H" if is_wide else "B"}'
    return head + sizes + struct.pack(form, *numbers)


def _unpack_layouts(data: bytes) -> peer_messages.Layouts:
    """Reads what `_pack_layouts` wrote.

    Raises:
        ValueError: the bytes are no map.
    """
    if not data:
        return ()
    try:
        sets, ranks, width = struct.unpack_from('<HHB', data)
        begin = struct.calcsize('<HHB')
        sizes = data[begin:begin + sets * ranks]
        form = f'<{sum(sizes)}{"H" if width == _WIDE else "B"}'
        numbers = struct.unpack(form, data[begin + sets * ranks:])
    except struct.error as error:
        raise ValueError(str(error)) from error
    if len(sizes) != sets * ranks:
        raise ValueError('the map is cut short')
    held = []
    at = 0
    for size in sizes:
        held.append(numbers[at:at + size])
        at += size
    return tuple(
        tuple(held[first:first + ranks])
        for first in range(0, sets * ranks, ranks))


def _fields(kind: type[Any]) -> tuple[tuple[str, str, Any], ...]:
    """The name, wire name and type of each field."""
    found = _fields_by_type.get(kind)
    if found is None:
        hints = typing.get_type_hints(kind)
        found = tuple(
            (name, _camel(name), hint) for name, hint in hints.items())
        _fields_by_type[kind] = found
    return found


def _read(kind: type[Any], reader: Any) -> Any:
    return kind(
        **{
            name: _value(hint, getattr(reader, wire_name))
            for name, wire_name, hint in _fields(kind)
        })


def _value(hint: Any, value: Any) -> Any:
    if hint in _PLAIN_TYPES:
        return value
    if hint == peer_messages.Layouts:
        return _unpack_layouts(bytes(value))
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        return tuple(_value(item, found) for found in value)
    if dataclasses.is_dataclass(hint):
        return _read(typing.cast(type[Any], hint), value)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint(str(value))
    return bytes(value) if hint is bytes else value
