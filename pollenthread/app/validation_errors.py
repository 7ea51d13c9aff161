"""Describes pydantic validation errors of documents to operators."""

import difflib
import types
import typing
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import annotated_types
import pydantic
from pydantic.fields import FieldInfo

__all__ = ['Location', 'LineLookup', 'describe_errors', 'unknown_line']

Location = tuple[str | int, ...]
LineLookup = Callable[[Location], int | None]

_DESCRIPTION_BY_PATTERN = {
    r'^[a-z0-9][a-z0-9-]{0,62}$':
        '1 to 63 lower-case letters, digits and hyphens',
    r'^[0-9a-f]{64}$':
        '64 hexadecimal digits',
    r'^[0-9.]+:[0-9]{1,5}$':
        'ip:port',
}


def unknown_line(_: Location) -> int | None:
    """Returns None: the line of a key is not known."""
    return None


def describe_errors(name: str,
                    error: pydantic.ValidationError,
                    *,
                    model: type[pydantic.BaseModel],
                    line_of: LineLookup = unknown_line) -> str:
    """Describes validation errors, one line for each invalid key.

    Args:
        name: the document's name, such as its path.
        error: the validation errors.
        model: the model that the document was validated with.
        line_of: returns the line number of a key, or None if it is not known.

    Returns:
        Lines `NAME:LINE: KEY: PROBLEM (allowed: ...)`.
    """
    return '\n'.join(
        _format_error(name, item, model, line_of) for item in error.errors())


def _format_error(name: str, item: Any, model: type[pydantic.BaseModel],
                  line_of: LineLookup) -> str:
    location: Location = item['loc']
    line = line_of(location)
    position = name if line is None else f'{name}:{line}'
    key = '.'.join(str(part) for part in location) or '(top)'
    problem = item['msg'].removeprefix('Value error, ')
    allowed = _allowed_text(item['type'], location, model)
    return f'{position}: {key}: {problem}{allowed}'


def _allowed_text(kind: str, location: Location,
                  model: type[pydantic.BaseModel]) -> str:
    if kind == 'extra_forbidden':
        return _known_keys(location, model)
    field = _field_at(location, model)
    constraints = '' if field is None else ' '.join(_constraint_texts(field))
    return f' (allowed: {constraints})' if constraints else ''


def _known_keys(location: Location, model: type[pydantic.BaseModel]) -> str:
    owner = _model_at(location[:-1], model)
    if owner is None:
        return ''
    known = sorted(owner.model_fields)
    matches = difflib.get_close_matches(str(location[-1]), known, n=1)
    hint = f'; did you mean {matches[0]}?' if matches else ''
    return f' (allowed: {", ".join(known)}{hint})'


def _constraint_texts(field: FieldInfo) -> Iterator[str]:
    values = list(_constraints(field.annotation, field.metadata))
    low = next((v.ge for v in values if isinstance(v, annotated_types.Ge)),
               None)
    high = next((v.le for v in values if isinstance(v, annotated_types.Le)),
                None)
    if low is not None and high is not None:
        yield f'{low} to {high}'
    for value in values:
        pattern = getattr(value, 'pattern', None)
        if pattern:
            yield _DESCRIPTION_BY_PATTERN.get(pattern, pattern)
    yield from _literal_texts(field.annotation)


def _constraints(annotation: Any, metadata: Sequence[Any]) -> Iterator[Any]:
    for value in metadata:
        if isinstance(value, FieldInfo):
            yield from value.metadata
        else:
            yield value
    for part in typing.get_args(annotation):
        more = getattr(part, '__metadata__', ())
        if more or typing.get_args(part):
            yield from _constraints(part, more)


def _literal_texts(annotation: Any) -> Iterator[str]:
    if typing.get_origin(annotation) is typing.Literal:
        yield ', '.join(str(value) for value in typing.get_args(annotation))


def _field_at(location: Location,
              model: type[pydantic.BaseModel]) -> FieldInfo | None:
    """Returns the innermost field on the path to a location."""
    found = None
    current: type[pydantic.BaseModel] | None = model
    for part in location:
        if current is not None and part in current.model_fields:
            found = current.model_fields[str(part)]
            current = _inner_model(found.annotation)
    return found


def _model_at(location: Location,
              model: type[pydantic.BaseModel]) -> type[pydantic.BaseModel]:
    current = model
    for part in location:
        field = current.model_fields.get(str(part))
        if field is not None:
            current = _inner_model(field.annotation) or current
    return current


def _inner_model(annotation: Any) -> type[pydantic.BaseModel] | None:
    """Returns the model in an annotation such as `dict[Name, Model] | None`."""
    if isinstance(annotation,
                  type) and not isinstance(annotation, types.GenericAlias):
        if issubclass(annotation, pydantic.BaseModel):
            return annotation
        return None
    for part in typing.get_args(annotation):
        found = _inner_model(part)
        if found is not None:
            return found
    return None
