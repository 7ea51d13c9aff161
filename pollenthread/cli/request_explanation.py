"""Explains the outcome of one request from structured logs."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

__all__ = ['Explanation', 'explain_request']

_END_EVENTS = ('request_answered', 'request_refused', 'request_failed',
               'caller_left')
_HIDDEN_KEYS = ('t', 'host', 'event', 'id')


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Explanation of a request's outcome.

    Attributes:
        lines: one line of text per logged event, in the order of the logs.
        verdict: outcome of the request and its cause.
    """

    lines: tuple[str, ...]
    verdict: str


def explain_request(request_id: str, log_lines: Iterable[str]) -> Explanation:
    """Collects the logged events of a request.

    Args:
        request_id: id of the request.
        log_lines: log lines of any number of processes; lines that are not
            JSON are ignored.
    """
    events = [
        event for line in log_lines if (event := _parse_event(line, request_id))
    ]
    return Explanation(lines=tuple(_format_event(event) for event in events),
                       verdict=_describe_outcome(events))


def _parse_event(line: str, request_id: str) -> dict[str, Any] | None:
    start = line.find('{')
    if start < 0 or request_id not in line:
        return None
    try:
        event = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(event, dict) or event.get('id') != request_id:
        return None
    return event


def _format_event(event: dict[str, Any]) -> str:
    fields = ' '.join(f'{key}={value}' for key, value in event.items()
                      if key not in _HIDDEN_KEYS)
    return f'{event.get("t")} {event.get("host")} {event.get("event")} {fields}'


def _describe_outcome(events: list[dict[str, Any]]) -> str:
    if not events:
        return ('No line names this request: it reached no host with logs, or '
                'its log lines were dropped (see lines_dropped).')
    ends = [event for event in events if event['event'] in _END_EVENTS]
    causes = [
        str(event['cause'])
        for event in events
        if event['event'] == 'attempt_ended'
    ]
    if not ends:
        return ('No outcome was logged: the process ended, or the line was '
                'dropped.')
    last = ends[-1]
    elapsed = f'after {last.get("after_s")} s'
    causes_text = f' Attempts ended by: {"; ".join(causes)}.' if causes else ''
    if last['event'] == 'request_answered':
        return (f'Answered with {last.get("status")} {elapsed}, '
                f'{last.get("attempts")} attempts.{causes_text}')
    if last['event'] == 'caller_left':
        return f'The caller disconnected {elapsed}.{causes_text}'
    execution = 'It did not run' if last['event'] == 'request_refused' else (
        'It may have run')
    return (f'{execution}: {last.get("kind")} {elapsed}, '
            f'{last.get("detail")}.{causes_text}')
