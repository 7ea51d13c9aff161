"""Steps for settings and documents of targets."""

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
_WRONG_BY_TYPE: dict[type, list[Any]] = {
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
class _Mutant:
    """One document with one thing wrong under one key."""

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


def _owner(document: Any, path: tuple[Any, ...]) -> Any:
    for part in path[:-1]:
        document = document[part]
    return document


def _mutate(draw: random.Random) -> _Mutant:
    document = _load(draw.choice(_examples()))
    path = draw.choice(list(_leaves(document)))
    owner = _owner(document, path)
    key = path[-1]
    named = next(str(p) for p in reversed(path) if isinstance(p, str))
    how = draw.choice(['value', 'value', 'rename', 'remove'])
    if how == 'rename' and key in _KNOWN_KEYS:
        owner[f'{key}_s'] = owner.pop(key)
        return _Mutant(f'{key}_s', document)
    if how == 'remove' and key in _KNOWN_KEYS - {'operators'} and not (key in (
            'account_interval_s', 'sample_per_thousand')):
        del owner[key]
        return _Mutant(named, document)
    wrong = [
        w for w in _WRONG_BY_TYPE[type(owner[key])]
        if not (w is None and key in ('collector', 'first_token_ms',
                                      'between_tokens_ms', 'answer_ms'))
    ]
    owner[key] = draw.choice(wrong)
    return _Mutant(named, document)


def _refusal(text: bytes) -> str | None:
    """What the check says about a text; None when it is valid."""
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


@when('{count:d} settings are mutated with seed {seed:d}')
def step_mutate(context: Any, count: int, seed: int) -> None:
    draw = random.Random(seed)
    context.mutants = [_mutate(draw) for _ in range(count)]


@then('each is refused with its file, line and key')
def step_refused(context: Any) -> None:
    for mutant in context.mutants:
        text = yaml.safe_dump(mutant.document)
        said = _refusal(text.encode())
        assert said is not None, f'{mutant.key} was taken:\n{text}'
        assert mutant.key in said, (mutant.key, said)
        assert all('mutant.yaml:' in line for line in said.splitlines()), said


def _with(path: pathlib.Path, key: str, value: str) -> bytes:
    document = copy.deepcopy(_load(path))
    parts = tuple(key.split('.'))
    _owner(document, parts)[parts[-1]] = json.loads(value)
    return yaml.safe_dump(document).encode()


@given('the targets of Tagline with {key} set to {value}')
def step_targets_with(context: Any, key: str, value: str) -> None:
    context.source = _with(_EXAMPLES / 'tagline' / 'targets.yaml', key, value)


@given('the entry settings of Buna with {key} set to {value}')
def step_entry_with(context: Any, key: str, value: str) -> None:
    context.source = _with(_EXAMPLES / 'buna' / 'entry.yaml', key, value)


@given('a file with the text {text}')
def step_text(context: Any, text: str) -> None:
    context.source = json.loads(text).encode()


@then('it is refused with "{text}"')
def step_refused_with(context: Any, text: str) -> None:
    said = _refusal(context.source)
    assert said is not None, 'it was taken'
    assert text in said, said


@when('{count:d} texts are made up with seed {seed:d}')
def step_make_up(context: Any, count: int, seed: int) -> None:

    @hypothesis.seed(seed)
    @hypothesis.settings(max_examples=count, database=None, deadline=None)
    @hypothesis.given(
        strategies.one_of(strategies.binary(),
                          strategies.text().map(str.encode)))
    def check(text: bytes) -> None:
        assert _refusal(text) is not None

    context.check = check


@then('none of them crashes the check')
def step_no_crash(context: Any) -> None:
    context.check()
