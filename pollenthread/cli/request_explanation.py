"""Tells from structured logs what became of one request."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

__all__ = ['Explanation', 'explain_request']

_ENDS = ('request_answered', 'request_refused', 'request_failed', 'caller_left')
_KEYS_NOT_SHOWN = ('t', 'host', 'event', 'id')


@dataclasses.dataclass(frozen=True)
class Explanation:
    """What logs say of a request.

    Attributes:
        lines: one for each event, in the order of the logs.
        verdict: how it ended, and why.
    """

    lines: tuple[str, ...]
    verdict: str


def explain_request(request_id: str, log_lines: Iterable[str]) -> Explanation:
    """Gathers what all processes said of a request.

    Args:
        request_id: the request's id.
        log: lines of any processes' logs; what is not JSON is passed over.
    """
    found = [event for line in log_lines if (event := _parse(line, request_id))]
    return Explanation(lines=tuple(_shown(event) for event in found),
                       verdict=_verdict(found))


def _parse(line: str, request_id: str) -> dict[str, Any] | None:
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


def _shown(event: dict[str, Any]) -> str:
    fields = ' '.join(f'{key}={value}' for key, value in event.items()
                      if key not in _KEYS_NOT_SHOWN)
    return f'{event.get("t")} {event.get("host")} {event.get("event")} {fields}'


def _verdict(events: list[dict[str, Any]]) -> str:
    if not events:
        return (
            'No line names this request: it reached no host that logged, or '
            'its lines were left out (see lines_dropped).')
    ends = [event for event in events if event['event'] in _ENDS]
    causes = [
        str(event['cause'])
        for event in events
        if event['event'] == 'attempt_ended'
    ]
    if not ends:
        return 'No end was logged: the process ended, or the line was left out.'
    last = ends[-1]
    after = f'after {last.get("after_s")} s'
    because = f' Attempts ended by: {"; ".join(causes)}.' if causes else ''
    if last['event'] == 'request_answered':
        return (f'Answered with {last.get("status")} {after}, '
                f'{last.get("attempts")} attempts.{because}')
    if last['event'] == 'caller_left':
        return f'The caller left {after}.{because}'
    ran = 'It did not run' if last['event'] == 'request_refused' else (
        'It may have run')
    return f'{ran}: {last.get("kind")} {after}, {last.get("detail")}.{because}'
