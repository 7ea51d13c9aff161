"""Reads YAML files and provides the line number of each key."""

import dataclasses
import pathlib
from collections.abc import Mapping
from typing import Any

import yaml

from pollenthread.app import targets_document, validation_errors

__all__ = ['YamlDocument', 'load', 'parse']

_MAX_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class YamlDocument:
    """A parsed YAML file.

    Attributes:
        name: the name of the file.
        value: the keys and values of the file.
        root: the root of the node tree, whose nodes have line numbers.
    """

    name: str
    value: Mapping[str, Any]
    root: yaml.Node

    def line_of(self, location: validation_errors.Location) -> int | None:
        """Returns the line number of a location, counted from 1.

        If the location does not exist, the line is that of the nearest
        enclosing key.
        """
        node: yaml.Node | None = self.root
        line: int = self.root.start_mark.line
        for part in location:
            child = _find_child(node, part)
            if child is not None:
                line, node = child
        return line + 1


def load(path: pathlib.Path) -> YamlDocument:
    """Reads a YAML file whose top level is a mapping.

    Raises:
        InvalidDocument: the file cannot be read or is not valid.
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
    """Parses YAML text whose top level is a mapping.

    Args:
        text: the text.
        name: the name of the file, for error messages.

    Raises:
        InvalidDocument: the text is not valid.
    """
    try:
        _reject_aliases(text, name)
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        if not isinstance(root, yaml.MappingNode):
            raise targets_document.InvalidDocument(
                f'{name}:1: (top): expected keys and values')
        _reject_duplicate_keys(root, name)
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


def _find_child(node: yaml.Node | None,
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


def _reject_aliases(text: str, name: str) -> None:
    """Rejects aliases, with which a small text can expand without limit."""
    for event in yaml.parse(text, Loader=yaml.SafeLoader):
        if isinstance(event, yaml.AliasEvent):
            mark = event.start_mark
            line = 1 if mark is None else mark.line + 1
            raise targets_document.InvalidDocument(
                f'{name}:{line}: *{event.anchor}: references are not taken')


def _reject_duplicate_keys(node: yaml.Node, name: str) -> None:
    """Rejects mappings with duplicate keys."""
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            if not isinstance(key, yaml.ScalarNode):
                raise targets_document.InvalidDocument(
                    f'{name}:{key.start_mark.line + 1}: (top): '
                    'a key must be a scalar')
            if key.value in seen:
                raise targets_document.InvalidDocument(
                    f'{name}:{key.start_mark.line + 1}: {key.value}: '
                    'the key stands twice')
            seen.add(key.value)
            _reject_duplicate_keys(value, name)
    elif isinstance(node, yaml.SequenceNode):
        for value in node.value:
            _reject_duplicate_keys(value, name)
