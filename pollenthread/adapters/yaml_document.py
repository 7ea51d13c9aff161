"""Reads a YAML file and remembers the line of each key."""

import dataclasses
import pathlib
from collections.abc import Mapping
from typing import Any

import yaml

from pollenthread.app import validation_errors, targets_document

__all__ = ['YamlDocument', 'load', 'parse']

_MAX_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class YamlDocument:
    """What a file holds.

    Attributes:
        name: the file's name.
        value: the keys and values.
        root: the nodes with their places in the text.
    """

    name: str
    value: Mapping[str, Any]
    root: yaml.Node

    def line_of(self, location: validation_errors.Location) -> int | None:
        """The line, from 1, of the nearest key on the way to `location`."""
        node: yaml.Node | None = self.root
        line: int = self.root.start_mark.line
        for part in location:
            step = _child(node, part)
            if step is not None:
                line, node = step
        return line + 1


def load(path: pathlib.Path) -> YamlDocument:
    """Reads a file with keys and values at its top.

    Raises:
        InvalidDocument: it cannot be read or is not such a file.
    """
    try:
        with path.open('rb') as file:
            data = file.read(_MAX_BYTES + 1)
        if len(data) > _MAX_BYTES:
            raise targets_document.InvalidDocument(
                f'{path}: the file is larger than {_MAX_BYTES} bytes')
        return parse(data.decode('utf-8'), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise targets_document.InvalidDocument(f'{path}: {error}') from error


def parse(text: str, name: str) -> YamlDocument:
    """Reads text with keys and values at its top.

    Raises:
        InvalidDocument: it is not such a text.
    """
    try:
        _refuse_references(text, name)
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        if not isinstance(root, yaml.MappingNode):
            raise targets_document.InvalidDocument(
                f'{name}:1: (top): expected keys and values')
        _refuse_twice(root, name)
        value = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = 1 if mark is None else mark.line + 1
        raise targets_document.InvalidDocument(
            f'{name}:{line}: (top): not YAML: {error.problem}') from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise targets_document.InvalidDocument(
            f'{name}:1: (top): not YAML: {error}') from error
    return YamlDocument(name=name, value=value, root=root)


def _child(node: yaml.Node | None,
           part: str | int) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(part):
                return key.start_mark.line, value
    elif isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        if part < len(node.value):
            value = node.value[part]
            return value.start_mark.line, value
    return None


def _refuse_references(text: str, name: str) -> None:
    """Refuses references, with which a small text can grow without bound."""
    for event in yaml.parse(text, Loader=yaml.SafeLoader):
        if isinstance(event, yaml.AliasEvent):
            mark = event.start_mark
            line = 1 if mark is None else mark.line + 1
            raise targets_document.InvalidDocument(
                f'{name}:{line}: *{event.anchor}: references are not taken')


def _refuse_twice(node: yaml.Node, name: str) -> None:
    """Refuses a key that stands twice."""
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            if not isinstance(key, yaml.ScalarNode):
                raise targets_document.InvalidDocument(
                    f'{name}:{key.start_mark.line + 1}: (top): '
                    'a key must be a plain word')
            if key.value in seen:
                raise targets_document.InvalidDocument(
                    f'{name}:{key.start_mark.line + 1}: {key.value}: '
                    'the key stands twice')
            seen.add(key.value)
            _refuse_twice(value, name)
    elif isinstance(node, yaml.SequenceNode):
        for value in node.value:
            _refuse_twice(value, name)
