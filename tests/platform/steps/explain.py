"""Steps for explanations and the structured log."""

import json
import os
from typing import Any

from behave import given, then, when

from pollenthread.adapters import json_log
from pollenthread.cli import request_explanation
from pollenthread.core import log_events

_ID = 'r-1'
_PIPE_BYTES = 1 << 16


def _line(event: str, **fields: Any) -> str:
    return json.dumps({
        't': 1.0,
        'host': 'edge-1',
        'event': event,
        'id': _ID,
        **fields
    })


_LINES_BY_END = {
    'refused': [
        _line('request_refused',
              kind='no_upstream',
              detail='all groups are closed',
              after_s=0.01)
    ],
    'lost': [
        _line('attempt', server='i-1', load=2.0),
        _line('attempt_ended', server='i-1', cause='reset', may_have_run=True),
        _line('request_failed',
              kind='upstream_failed',
              detail='reset',
              after_s=0.2)
    ],
    'late': [
        _line('attempt', server='i-1', load=2.0),
        _line('attempt_ended', server='i-1', cause='silent', may_have_run=True),
        _line('request_answered', status=200, attempts=2, after_s=1.9)
    ],
    'unknown': [],
}


@given('the logs of two hosts with a {end} request among others')
def step_logs(context: Any, end: str) -> None:
    other = json.dumps({'event': 'request_answered', 'id': 'r-12', 't': 0.0})
    context.log = [other, *_LINES_BY_END[end], other]


@given('lines that are not JSON')
def step_not_json(context: Any) -> None:
    context.log += ['', 'Traceback r-1', '{"id": "r-1"', '[1]']


@when('the request is explained')
def step_explain(context: Any) -> None:
    context.found = request_explanation.explain_request(_ID, context.log)


@then('the verdict says "{words}"')
def step_verdict(context: Any, words: str) -> None:
    assert words in context.found.verdict, context.found.verdict


@then('{count:d} lines are shown')
def step_shown(context: Any, count: int) -> None:
    assert len(context.found.lines) == count, context.found.lines


def _open_log(context: Any) -> None:
    context.reader, context.writer = os.pipe()
    context.log = json_log.JsonLog(host='edge-1', descriptor=context.writer)


@given('a structured log whose reader has stopped')
def step_stopped_reader(context: Any) -> None:
    _open_log(context)


@given('a structured log that is read')
def step_reader(context: Any) -> None:
    _open_log(context)


@when('{count:d} lines are written')
def step_write(context: Any, count: int) -> None:
    for _ in range(count):
        context.log.write(log_events.LogEvent.REQUEST_FAILED,
                          id=_ID,
                          detail='x' * 500)


@then('lines were dropped and counted')
def step_dropped(context: Any) -> None:
    assert context.log.dropped > 0
    os.close(context.reader)
    os.close(context.writer)


@when('{ordinary:d} ordinary lines and {important:d} important ones are '
      'written at once')
def step_mixed(context: Any, ordinary: int, important: int) -> None:
    for _ in range(ordinary):
        context.log.write(log_events.LogEvent.ATTEMPT, important=False)
    for _ in range(important):
        context.log.write(log_events.LogEvent.REQUEST_FAILED, id=_ID)
    os.close(context.writer)
    data = os.read(context.reader, _PIPE_BYTES)
    os.close(context.reader)
    context.lines = [json.loads(line) for line in data.splitlines()]


@then('all {count:d} important lines are there')
def step_important(context: Any, count: int) -> None:
    found = [l for l in context.lines if l['event'] == 'request_failed']
    assert len(found) == count, len(found)


@then('the count of lines that were left out is told')
def step_left_out(context: Any) -> None:
    assert any(l['event'] == 'lines_dropped' for l in context.lines)
