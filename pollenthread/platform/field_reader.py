"""Reads fields of decoded JSON or TOML, and says which one is wrong.

A process is back sooner after a restart without a library of models: to import
one and build the models takes a third of the time until it serves.
"""

import math
from collections.abc import Mapping
from typing import Any, Self

__all__ = ['FieldReader', 'FieldError']


class FieldError(ValueError):
    """A field is missing or holds something else than it should."""


class FieldReader:
    """One object with named fields; those it does not know are ignored."""

    def __init__(self, document: Any, *, path: str = '') -> None:
        """Takes an object.

        Args:
            found: what was decoded.
            place: where it stands in the document.

        Raises:
            InvalidField: it is no object.
        """
        if not isinstance(document, Mapping):
            raise FieldError(f'{path or "the document"} is no object')
        self._document = document
        self._prefix = path

    def has(self, name: str) -> bool:
        """Whether the field is there and not null."""
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
        """A text; a field without a default must be there.

        Raises:
            InvalidField: it is missing or no text.
        """
        return self._check_type(name, self._get_value(name, default), str,
                                'text')

    def get_float(self, name: str, default: float | None = None) -> float:
        """A finite number.

        Raises:
            InvalidField: it is missing or no number.
        """
        value = self._get_value(name, default)
        if (isinstance(value, bool) or not isinstance(value, (int, float)) or
                not math.isfinite(value)):
            raise FieldError(
                f'{self._field_path(name)} is no number: {value!r}')
        return float(value)

    def get_int(self, name: str, default: int | None = None) -> int:
        """A whole number.

        Raises:
            InvalidField: it is missing or no whole number.
        """
        value = self._get_value(name, default)
        if not _is_integer(value):
            raise FieldError(
                f'{self._field_path(name)} is no whole number: {value!r}')
        return int(value)

    def get_bool(self, name: str, default: bool) -> bool:
        """True or false.

        Raises:
            InvalidField: it is neither.
        """
        return self._check_type(name, self._get_value(name, default), bool,
                                'flag')

    def get_object(self, name: str) -> Self:
        """An object; without fields where it is left out.

        Raises:
            InvalidField: it is no object.
        """
        return type(self)(self._get_value(name, {}),
                          path=self._field_path(name))

    def get_objects(self, name: str) -> list[Self]:
        """A list of objects; empty where it is left out.

        Raises:
            InvalidField: it is no list of objects.
        """
        items = self._check_type(name, self._get_value(name, []), list, 'list')
        return [
            type(self)(value, path=f'{self._field_path(name)}[{index}]')
            for index, value in enumerate(items)
        ]

    def get_strs(self, name: str) -> tuple[str, ...]:
        """A list of texts; empty where it is left out.

        Raises:
            InvalidField: it is no list of texts.
        """
        items = self._check_type(name, self._get_value(name, []), list, 'list')
        return tuple(
            self._check_type(f'{name}[{index}]', value, str, 'text')
            for index, value in enumerate(items))

    def get_ints(self, name: str, *, count: int) -> tuple[int, ...]:
        """A list of so many whole numbers.

        Raises:
            InvalidField: it is missing or something else.
        """
        items = self._check_type(name, self._get_value(name, None), list,
                                 'list')
        if len(items) != count or not all(map(_is_integer, items)):
            raise FieldError(
                f'{self._field_path(name)} is not {count} whole numbers: {items!r}'
            )
        return tuple(int(value) for value in items)

    def get_str_by_name(self, name: str) -> dict[str, str]:
        """An object whose fields are texts; empty where it is left out.

        Raises:
            InvalidField: it is something else.
        """
        mapping = self._check_type(name, self._get_value(name, {}), Mapping,
                                   'object')
        return {
            str(key): self._check_type(f'{name}.{key}', value, str, 'text')
            for key, value in mapping.items()
        }

    def _check_type(self, name: str, value: Any, expected_type: Any,
                    type_name: str) -> Any:
        if not isinstance(value, expected_type):
            raise FieldError(
                f'{self._field_path(name)} is no {type_name}: {value!r}')
        return value


def _is_integer(value: Any) -> bool:
    return (isinstance(value, (int, float)) and not isinstance(value, bool) and
            value == value // 1)
