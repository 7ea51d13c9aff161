"""Encodes peer messages with Cap'n Proto.

The fields in peer.capnp have the names of the fields of the data classes in
`core.peer_messages`, in camel case.
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
    'PeerMessageDecodeError', 'PeerMessageEncodeError', 'decode',
    'decode_datagram', 'encode', 'encode_datagram'
]

_schema = capnp.load(str(pathlib.Path(__file__).with_name('peer.capnp')))
_DATAGRAM_TYPES = (peer_messages.EntryBeat, peer_messages.ServerLoad,
                   peer_messages.RankState, peer_messages.ExpertChoices,
                   peer_messages.DutyBeat, peer_messages.RankOrder,
                   peer_messages.UsableHosts, peer_messages.CrashNews,
                   peer_messages.LimitRecord, peer_messages.PermitRequest,
                   peer_messages.PermitReply)

_WIDE_BYTES = 2
_MAX_NARROW_NUMBER = 255
_PLAIN_TYPES = (str, int, bool)

_fields_by_type: dict[type[Any], tuple[tuple[str, str, Any], ...]] = {}

_T = TypeVar('_T')


class PeerMessageDecodeError(Exception):
    """The bytes are not a valid message of the schema."""


class PeerMessageEncodeError(Exception):
    """A field has a value that the schema cannot represent."""


def _camel_case(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.capitalize() for part in rest)


_UNION_NAME_BY_TYPE = {
    kind: kind.__name__[0].lower() + kind.__name__[1:]
    for kind in _DATAGRAM_TYPES
}
_TYPE_BY_UNION_NAME = {name: kind for kind, name in _UNION_NAME_BY_TYPE.items()}


def encode(message: Any) -> bytes:
    """Encodes an instance of a data class without its type.

    Raises:
        PeerMessageEncodeError: a value is out of range, or not valid text.
    """
    builder = getattr(_schema, type(message).__name__).new_message()
    _fill_checked(builder, message)
    data: bytes = builder.to_bytes_packed()
    return data


def encode_datagram(message: Any) -> bytes:
    """Encodes an instance of a data class as a datagram, which has its type.

    Raises:
        PeerMessageEncodeError: a value is out of range, or not valid text.
    """
    builder = _schema.Datagram.new_message()
    _fill_checked(builder.init(_UNION_NAME_BY_TYPE[type(message)]), message)
    data: bytes = builder.to_bytes_packed()
    return data


def decode(kind: type[_T], data: bytes) -> _T:
    """Decodes an instance of a data class.

    Raises:
        PeerMessageDecodeError: the bytes are not a message of type `kind`.
    """
    try:
        reader = getattr(_schema, kind.__name__).from_bytes_packed(data)
        decoded: _T = _read_message(kind, reader)
        return decoded
    except (capnp.KjException, ValueError, KeyError) as error:
        raise PeerMessageDecodeError(str(error)) from error


def decode_datagram(data: bytes) -> Any:
    """Decodes a datagram to an instance of its data class.

    Raises:
        PeerMessageDecodeError: the bytes are not a valid datagram.
    """
    try:
        reader = _schema.Datagram.from_bytes_packed(data)
        name = str(reader.which())
        return _read_message(_TYPE_BY_UNION_NAME[name], getattr(reader, name))
    except (capnp.KjException, ValueError, KeyError) as error:
        raise PeerMessageDecodeError(str(error)) from error


def _fill_checked(builder: Any, message: Any) -> None:
    try:
        _fill_builder(builder, message)
    except (capnp.KjException, OverflowError, ValueError) as error:
        raise PeerMessageEncodeError(str(error)) from error


def _fill_builder(builder: Any, message: Any) -> None:
    for field, name, hint in _fields_of(type(message)):
        value = getattr(message, field)
        if hint == peer_messages.Layouts:
            setattr(builder, name, _pack_layouts(value))
        elif dataclasses.is_dataclass(value):
            _fill_builder(builder.init(name), value)
        elif isinstance(value, tuple) and value and dataclasses.is_dataclass(
                value[0]):
            items = builder.init(name, len(value))
            for item, element in zip(items, value):
                _fill_builder(item, element)
        elif isinstance(value, enum.Enum):
            setattr(builder, name, value.value)
        elif isinstance(value, tuple):
            setattr(builder, name, _to_lists(value))
        else:
            setattr(builder, name, value)


def _to_lists(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_to_lists(item) for item in value]
    return value


def _pack_layouts(layouts: peer_messages.Layouts) -> bytes:
    """Encodes an expert map compactly: one link carries it to every rank."""
    if not layouts:
        return b''
    expert_lists = [experts for ranks in layouts for experts in ranks]
    numbers = [expert for experts in expert_lists for expert in experts]
    is_wide = max(numbers, default=0) > _MAX_NARROW_NUMBER
    head = struct.pack('<HHB', len(layouts), len(layouts[0]),
                       _WIDE_BYTES if is_wide else 1)
    sizes = bytes(len(experts) for experts in expert_lists)
    number_format = f'<{len(numbers)}{"H" if is_wide else "B"}'
    return head + sizes + struct.pack(number_format, *numbers)


def _unpack_layouts(data: bytes) -> peer_messages.Layouts:
    """Decodes an expert map that `_pack_layouts` encoded.

    Raises:
        ValueError: the bytes are not a valid map.
    """
    if not data:
        return ()
    try:
        sets, ranks, width = struct.unpack_from('<HHB', data)
        sizes_start = struct.calcsize('<HHB')
        sizes = data[sizes_start:sizes_start + sets * ranks]
        number_format = f'<{sum(sizes)}{"H" if width == _WIDE_BYTES else "B"}'
        numbers = struct.unpack(number_format,
                                data[sizes_start + sets * ranks:])
    except struct.error as error:
        raise ValueError(str(error)) from error
    if len(sizes) != sets * ranks:
        raise ValueError('the expert map is truncated')
    expert_lists = []
    position = 0
    for size in sizes:
        expert_lists.append(numbers[position:position + size])
        position += size
    return tuple(
        tuple(expert_lists[first:first + ranks])
        for first in range(0, sets * ranks, ranks))


def _fields_of(kind: type[Any]) -> tuple[tuple[str, str, Any], ...]:
    """Returns the name, schema name and type of each field of a data class."""
    fields = _fields_by_type.get(kind)
    if fields is None:
        hints = typing.get_type_hints(kind)
        fields = tuple(
            (name, _camel_case(name), hint) for name, hint in hints.items())
        _fields_by_type[kind] = fields
    return fields


def _read_message(kind: type[Any], reader: Any) -> Any:
    return kind(
        **{
            name: _read_value(hint, getattr(reader, wire_name))
            for name, wire_name, hint in _fields_of(kind)
        })


def _read_value(hint: Any, value: Any) -> Any:
    if hint in _PLAIN_TYPES:
        return value
    if hint == peer_messages.Layouts:
        return _unpack_layouts(bytes(value))
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        return tuple(_read_value(item, element) for element in value)
    if dataclasses.is_dataclass(hint):
        return _read_message(typing.cast(type[Any], hint), value)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint(str(value))
    return bytes(value) if hint is bytes else value
