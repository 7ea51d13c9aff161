"""Steps for the validation of settings and targets."""

import copy
import dataclasses
import json
import pathlib
import random
import tempfile
from collections.abc import Iterator
from typing import Any

import hypothesis
import yaml
from behave import given, then, when
from hypothesis import strategies

from pollenthread.adapters import settings
from pollenthread.app import targets_document

_EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / 'examples'
_INVALID_VALUES_BY_TYPE: dict[type, list[Any]] = {
    int: ['many', -1, 10**12, 1.5, None, [1]],
    str: [17, None, 'No Spaces Or Capitals', {
        'a': 1
    }],
    bool: ['perhaps', 2, None],
    list: ['one', 3, [[]]],
}
_KNOWN_KEYS = frozenset({
    'role', 'host', 'data_centre', 'region', 'callers', 'links', 'admin',
    'platform', 'table', 'object_store', 'host_list', 'upstream', 'kind',
    'name', 'address', 'key_sha256', 'latency', 'retries', 'repeatable',
    'classes', 'sample_per_thousand', 'account_interval_s', 'operators'
})
_FREE_TEXT = frozenset({'certificate_file', 'key_file', 'authority_file'})


@dataclasses.dataclass(frozen=True)
class _MutatedSettings:
    """A document with an invalid value, an unknown key or a missing key."""

    key: str
    document: Any


def _examples() -> list[pathlib.Path]:
    return sorted(_EXAMPLES.glob('*/*.yaml'))


def _load(path: pathlib.Path) -> Any:
    return yaml.safe_load(path.read_text('utf-8'))


def _leaves(node: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    items: Any = ()
    if isinstance(node, dict):
        items = node.items()
    elif isinstance(node, list):
        items = enumerate(node)
    for key, value in items:
        if not isinstance(value, dict):
            yield (*path, key)
        yield from _leaves(value, (*path, key))


def _parent(document: Any, path: tuple[Any, ...]) -> Any:
    for part in path[:-1]:
        document = document[part]
    return document


def _mutate(rng: random.Random) -> _MutatedSettings:
    document = _load(rng.choice(_examples()))
    path = rng.choice(list(_leaves(document)))
    parent = _parent(document, path)
    key = path[-1]
    key_name = next(str(p) for p in reversed(path) if isinstance(p, str))
    mutation = rng.choice(['value', 'value', 'rename', 'remove'])
    if mutation == 'rename' and key in _KNOWN_KEYS:
        parent[f'{key}_s'] = parent.pop(key)
        return _MutatedSettings(f'{key}_s', document)
    if mutation == 'remove' and key in _KNOWN_KEYS - {'operators'} and not (
            key in ('account_interval_s', 'sample_per_thousand')):
        del parent[key]
        return _MutatedSettings(key_name, document)
    invalid_values = [
        invalid for invalid in _INVALID_VALUES_BY_TYPE[type(parent[key])]
        if not (invalid is None and key in ('collector', 'first_token_ms',
                                            'between_tokens_ms', 'answer_ms'))
    ]
    parent[key] = rng.choice(invalid_values)
    return _MutatedSettings(key_name, document)


def _validation_error(text: bytes) -> str | None:
    """Returns the validation error of a text, or None if it is valid."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'mutant.yaml'
        path.write_bytes(text)
        try:
            settings.validate_file(path)
        except targets_document.InvalidDocument as error:
            return str(error)
    return None


@then('every file in examples is valid')
def step_valid(_: Any) -> None:
    paths = _examples()
    assert len(paths) >= 6, paths
    for path in paths:
        settings.validate_file(path)


@when('{count:d} settings documents are mutated with seed {seed:d}')
def step_mutate(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    context.mutated_settings = [_mutate(rng) for _ in range(count)]


@then('each is rejected with its file, line and key')
def step_rejected(context: Any) -> None:
    for mutated in context.mutated_settings:
        text = yaml.safe_dump(mutated.document)
        message = _validation_error(text.encode())
        assert message is not None, f'{mutated.key} was accepted:\n{text}'
        assert mutated.key in message, (mutated.key, message)
        assert all(
            'mutant.yaml:' in line for line in message.splitlines()), message


def _with_value(path: pathlib.Path, key: str, value: str) -> bytes:
    document = copy.deepcopy(_load(path))
    parts = tuple(key.split('.'))
    _parent(document, parts)[parts[-1]] = json.loads(value)
    return yaml.safe_dump(document).encode()


@given('the example targets of Tagline with {key} set to {value}')
def step_targets_with(context: Any, key: str, value: str) -> None:
    context.source = _with_value(_EXAMPLES / 'tagline' / 'targets.yaml', key,
                                 value)


@given('the example entry settings of Buna with {key} set to {value}')
def step_entry_with(context: Any, key: str, value: str) -> None:
    context.source = _with_value(_EXAMPLES / 'buna' / 'entry.yaml', key, value)


@given('a file with the text {text}')
def step_text(context: Any, text: str) -> None:
    context.source = json.loads(text).encode()


@then('it is rejected with the error "{text}"')
def step_rejected_with(context: Any, text: str) -> None:
    message = _validation_error(context.source)
    assert message is not None, 'it was accepted'
    assert text in message, message


@when('{count:d} random texts with seed {seed:d} are checked')
def step_random_texts(context: Any, count: int, seed: int) -> None:

    @hypothesis.seed(seed)
    @hypothesis.settings(max_examples=count, database=None, deadline=None)
    @hypothesis.given(
        strategies.one_of(strategies.binary(),
                          strategies.text().map(str.encode)))
    def check(text: bytes) -> None:
        assert _validation_error(text) is not None

    context.check = check


@then('each is rejected without an unexpected exception')
def step_no_crash(context: Any) -> None:
    context.check()
