"""Encodes link messages with Cap'n Proto.

The fields in wire.capnp have the names of the fields of the data classes in
`core.messages`, in camel case, so that one table that is built from the data
classes covers every message.
"""

import dataclasses
import operator
import pathlib
import typing
from collections.abc import Callable
from typing import Any

import capnp

from pollenthread.core import errors, http_headers, messages

__all__ = ['LinkMessageDecodeError', 'decode', 'encode']

_schema = capnp.load(str(pathlib.Path(__file__).with_name('wire.capnp')))
_MAX_TRAVERSED_WORDS = 1 << 20


class LinkMessageDecodeError(Exception):
    """The bytes are not a valid message of the schema."""


def _camel_case(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.capitalize() for part in rest)


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """How one field of a message is encoded and decoded.

    Attributes:
        name: the name in the data class.
        wire_name: the name in the schema.
        write: converts the value for encoding; None if not needed.
        read: converts the decoded value; None if not needed.
    """

    name: str
    wire_name: str
    write: Callable[[Any], Any] | None
    read: Callable[[Any], Any] | None


def _write_headers(headers: tuple[http_headers.Header, ...]) -> list[Any]:
    return [{'name': name, 'value': value} for name, value in headers]


def _read_headers(headers: Any) -> tuple[http_headers.Header, ...]:
    return tuple((header.name, header.value) for header in headers)


def _enum_value(item: Any) -> str:
    return str(item.value)


_CONVERSIONS: dict[Any, tuple[Any, Any]] = {
    tuple[str, ...]: (list, tuple),
    tuple[int, ...]: (list, tuple),
    tuple[http_headers.Header, ...]: (_write_headers, _read_headers),
    errors.ErrorKind: (_enum_value, errors.ErrorKind),
    errors.Executed: (_enum_value, errors.Executed),
    messages.SealState: (_enum_value, messages.SealState),
}


def _fields(cls: type[Any]) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(cls)
    fields = []
    for field in dataclasses.fields(cls):
        write, read = _CONVERSIONS.get(hints[field.name], (None, None))
        fields.append(_Field(field.name, _camel_case(field.name), write, read))
    return tuple(fields)


_FIELDS_BY_CLASS = {
    cls: _fields(cls) for cls in typing.get_args(messages.Message)
}
_TAG_BY_CLASS = {cls: cls.__name__.lower() for cls in _FIELDS_BY_CLASS}
_CLASS_BY_TAG = {tag: cls for cls, tag in _TAG_BY_CLASS.items()}


def _make_reader(cls: type[Any]) -> Callable[[Any], Any]:
    """Returns a function that decodes the body of a message."""
    fields = _FIELDS_BY_CLASS[cls]
    converters = [field.read for field in fields]
    names = [field.wire_name for field in fields]
    if len(names) > 1 and not any(converters):
        getter = operator.attrgetter(*names)
        return lambda body: cls(*getter(body))

    def read(body: Any) -> Any:
        values = [getattr(body, name) for name in names]
        return cls(*(value if convert is None else convert(value)
                     for value, convert in zip(values, converters)))

    return read


_READER_BY_TAG = {tag: _make_reader(cls) for tag, cls in _CLASS_BY_TAG.items()}


def encode(message: messages.Message) -> bytes:
    """Encodes a message with its type."""
    cls = type(message)
    frame = _schema.Message.new_message()
    body = frame.init(_TAG_BY_CLASS[cls])
    for field in _FIELDS_BY_CLASS[cls]:
        value = getattr(message, field.name)
        if field.write is not None:
            value = field.write(value)
        setattr(body, field.wire_name, value)
    data: bytes = frame.to_bytes()
    return data


def decode(data: bytes) -> messages.Message:
    """Decodes a message.

    Raises:
        LinkMessageDecodeError: the bytes are not a valid message.
    """
    try:
        with _schema.Message.from_bytes(
                data, traversal_limit_in_words=_MAX_TRAVERSED_WORDS) as frame:
            tag = str(frame.which())
            body = getattr(frame, tag)
            message: messages.Message = _READER_BY_TAG[tag](body)
            return message
    except (capnp.KjException, ValueError, KeyError) as error:
        raise LinkMessageDecodeError(str(error)) from error
