"""Typed access to the fields of decoded JSON or TOML documents.

Errors contain the path of the invalid field. No validation library is used:
importing one and building its models takes a third of the time from the start
of a process until it serves requests, which would delay every restart.
"""

import marshal
import sys
from collections.abc import Mapping
from typing import Any, Self

__all__ = ['FieldReader', 'FieldError']

_MAX_FLOAT = sys.float_info.max
# Integers are sent to peers with 64 bits.
_MAX_INT = 2**63 - 1
_MAX_SHOWN = 80
# Later versions encode how often an object is used.
_MARSHAL_VERSION = 2


class FieldError(ValueError):
    """A field is missing or has a value of the wrong type."""


class FieldReader:
    """Reads the fields of one object by name and checks their types.

    A field that is null counts as missing. Fields that are never read are
    ignored.
    """

    def __init__(self, document: Any, *, path: str = '') -> None:
        """Initializes the reader.

        Args:
            document: decoded object.
            path: path of the object in the whole document, for error messages;
                empty for the document itself.

        Raises:
            FieldError: `document` is not an object.
        """
        if not isinstance(document, Mapping):
            raise FieldError(f'{path or "the document"} is no object')
        self._document = document
        self._prefix = path

    def fingerprint(self) -> bytes:
        """Returns bytes that only objects of equal content have.

        Unlike a comparison of the objects, they tell 1 from 1.0 and from true.
        """
        return marshal.dumps(dict(self._document), _MARSHAL_VERSION)

    def has(self, name: str) -> bool:
        """Returns whether the field is present and not null."""
        return self._document.get(name) is not None

    def _field_path(self, name: str) -> str:
        return f'{self._prefix}.{name}' if self._prefix else name

    def _get_value(self, name: str, default: Any) -> Any:
        value = self._document.get(name)
        if value is not None:
            return value
        if default is None:
            raise FieldError(f'{self._field_path(name)} is missing')
        return default

    def get_str(self, name: str, default: str | None = None) -> str:
        """Returns a string field.

        Args:
            name: name of the field.
            default: value of a missing field; None if the field is required.

        Raises:
            FieldError: the field is required and missing, or not a string.
        """
        return self._check_text(name, self._get_value(name, default))

    def get_float(self, name: str, default: float | None = None) -> float:
        """Returns a finite number as a float.

        Args:
            name: name of the field.
            default: value of a missing field; None if the field is required.

        Raises:
            FieldError: the field is required and missing, or not a finite
                number.
        """
        value = self._get_value(name, default)
        if (isinstance(value, bool) or not isinstance(value, (int, float)) or
                not -_MAX_FLOAT <= value <= _MAX_FLOAT):
            raise FieldError(
                f'{self._field_path(name)} is no number: {_shorten(value)}')
        return float(value)

    def get_int(self,
                name: str,
                default: int | None = None,
                *,
                least: int = -_MAX_INT,
                most: int = _MAX_INT) -> int:
        """Returns an integer; a float without a fraction is accepted.

        Args:
            name: name of the field.
            default: value of a missing field; None if the field is required.
            least: smallest valid value.
            most: greatest valid value.

        Raises:
            FieldError: the field is required and missing, not an integer, or
                out of range.
        """
        value = self._get_value(name, default)
        if not _is_integer(value) or not least <= value <= most:
            raise FieldError(f'{self._field_path(name)} is no whole number '
                             f'from {least} to {most}: {_shorten(value)}')
        return int(value)

    def get_bool(self, name: str, default: bool) -> bool:
        """Returns a Boolean field, or `default` if it is missing.

        Raises:
            FieldError: the field is not a Boolean.
        """
        return self._check_type(name, self._get_value(name, default), bool,
                                'flag')

    def get_object(self, name: str) -> Self:
        """Returns a reader of a nested object; of an empty one if missing.

        Raises:
            FieldError: the field is not an object.
        """
        return type(self)(self._get_value(name, {}),
                          path=self._field_path(name))

    def get_objects(self, name: str) -> list[Self]:
        """Returns readers of a list of objects; empty if the field is missing.

        Raises:
            FieldError: the field is not a list of objects.
        """
        items = self._check_type(name, self._get_value(name, []), list, 'list')
        return [
            type(self)(value, path=f'{self._field_path(name)}[{index}]')
            for index, value in enumerate(items)
        ]

    def get_strs(self, name: str) -> tuple[str, ...]:
        """Returns a list of strings; empty if the field is missing.

        Raises:
            FieldError: the field is not a list of strings.
        """
        items = self._check_type(name, self._get_value(name, []), list, 'list')
        return tuple(
            self._check_text(f'{name}[{index}]', value)
            for index, value in enumerate(items))

    def get_ints(self, name: str, *, count: int) -> tuple[int, ...]:
        """Returns a list of exactly `count` integers.

        Raises:
            FieldError: the field is missing or not such a list.
        """
        items = self._check_type(name, self._get_value(name, None), list,
                                 'list')
        if len(items) != count or not all(map(_is_integer, items)):
            raise FieldError(
                f'{self._field_path(name)} is not {count} whole numbers: '
                f'{items!r}')
        return tuple(int(value) for value in items)

    def get_str_by_name(self, name: str) -> dict[str, str]:
        """Returns an object whose values are strings; empty if missing.

        Raises:
            FieldError: the field is not an object or a value is not a string.
        """
        mapping = self._check_type(name, self._get_value(name, {}), Mapping,
                                   'object')
        return {
            self._check_text(name, key):
                self._check_text(f'{name}.{key}', value)
            for key, value in mapping.items()
        }

    def _check_type(self, name: str, value: Any, expected_type: Any,
                    type_name: str) -> Any:
        if not isinstance(value, expected_type):
            raise FieldError(f'{self._field_path(name)} is no {type_name}: '
                             f'{_shorten(value)}')
        return value

    def _check_text(self, name: str, value: Any) -> str:
        """Returns a string that can be encoded."""
        text: str = self._check_type(name, value, str, 'text')
        try:
            text.encode()
        except UnicodeEncodeError as error:
            raise FieldError(
                f'{self._field_path(name)} is no valid text') from error
        return text


def _is_integer(value: Any) -> bool:
    return (isinstance(value, (int, float)) and not isinstance(value, bool) and
            value == value // 1)


def _shorten(value: Any) -> str:
    """Returns a value for an error message."""
    if isinstance(value, int) and not -_MAX_INT <= value <= _MAX_INT:
        return 'a number that is too large'
    return repr(value)[:_MAX_SHOWN]
