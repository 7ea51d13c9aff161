"""Steps for explanations and the structured log."""

import json
import os
from typing import Any

from behave import given, then, when

from pollenthread.adapters import json_log
from pollenthread.cli import request_explanation
from pollenthread.core import log_events

_REQUEST_ID = 'r-1'
_PIPE_BYTES = 1 << 16


def _line(event: str, **fields: Any) -> str:
    return json.dumps({
        't': 1.0,
        'host': 'edge-1',
        'event': event,
        'id': _REQUEST_ID,
        **fields
    })


_LINES_BY_OUTCOME = {
    'rejected': [
        _line('request_refused',
              kind='no_upstream',
              detail='all groups are closed',
              after_s=0.01)
    ],
    'failed': [
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


@given('the logs of two hosts with a request that ended as {outcome}, among '
       'others')
def step_logs(context: Any, outcome: str) -> None:
    other = json.dumps({'event': 'request_answered', 'id': 'r-12', 't': 0.0})
    context.log = [other, *_LINES_BY_OUTCOME[outcome], other]


@given('lines that are not JSON')
def step_not_json(context: Any) -> None:
    context.log += ['', 'Traceback r-1', '{"id": "r-1"', '[1]']


@when('the request is explained')
def step_explain(context: Any) -> None:
    context.explanation = request_explanation.explain_request(
        _REQUEST_ID, context.log)


@then('the verdict says "{words}"')
def step_verdict(context: Any, words: str) -> None:
    assert words in context.explanation.verdict, context.explanation.verdict


@then('{count:d} lines are shown')
def step_shown(context: Any, count: int) -> None:
    assert len(context.explanation.lines) == count, context.explanation.lines


def _open_log(context: Any) -> None:
    context.reader, context.writer = os.pipe()
    context.log = json_log.JsonLog(host='edge-1', descriptor=context.writer)


@given('a structured log whose reader does not read')
def step_stopped_reader(context: Any) -> None:
    _open_log(context)


@given('a structured log whose reader reads later')
def step_reading_reader(context: Any) -> None:
    _open_log(context)


@when('{count:d} lines are logged')
def step_write(context: Any, count: int) -> None:
    for _ in range(count):
        context.log.write(log_events.LogEvent.REQUEST_FAILED,
                          id=_REQUEST_ID,
                          detail='x' * 500)


@then('lines were dropped and counted')
def step_dropped(context: Any) -> None:
    assert context.log.dropped > 0
    os.close(context.reader)
    os.close(context.writer)


@when('{ordinary:d} ordinary and {important:d} important lines are logged '
      'without a pause')
def step_mixed(context: Any, ordinary: int, important: int) -> None:
    for _ in range(ordinary):
        context.log.write(log_events.LogEvent.ATTEMPT, important=False)
    for _ in range(important):
        context.log.write(log_events.LogEvent.REQUEST_FAILED, id=_REQUEST_ID)
    os.close(context.writer)
    data = os.read(context.reader, _PIPE_BYTES)
    os.close(context.reader)
    context.lines = [json.loads(line) for line in data.splitlines()]


@then('all {count:d} important lines were written')
def step_important_written(context: Any, count: int) -> None:
    found = [
        line for line in context.lines if line['event'] == 'request_failed'
    ]
    assert len(found) == count, len(found)


@then('a line with the number of dropped lines was written')
def step_drop_count(context: Any) -> None:
    assert any(line['event'] == 'lines_dropped' for line in context.lines)
