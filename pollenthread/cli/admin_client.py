"""HTTP client of the administration port of an entry host."""

import asyncio
import json
import os
import pathlib
from typing import Any

from absl import flags

from pollenthread.adapters import http_client
from pollenthread.cli import exit_codes

__all__ = ['call']

_ADMIN = flags.DEFINE_string(
    'admin', '127.0.0.1:9090',
    'IP:PORT of the administration port of any entry host.')
_KEY_FILE = flags.DEFINE_string(
    'key_file', None, 'File that holds your key; else POLLENTHREAD_KEY.')
_KEY_VARIABLE = 'POLLENTHREAD_KEY'
_TIMEOUT_S = 60.0


def call(method: str, target: str, document: Any = None) -> Any:
    """Sends one request and returns the decoded JSON response.

    Args:
        method: HTTP method.
        target: path and query of the request.
        document: body that is sent as JSON; None for an empty body.

    Raises:
        CommandError: no valid response was received, or its status is not 200.
    """
    try:
        status, body = asyncio.run(_send(method, target, document))
    except (ConnectionError, TimeoutError) as error:
        raise exit_codes.CommandError(
            exit_codes.ExitCode.UNAVAILABLE,
            f'{_ADMIN.value} does not respond: give the administration port of '
            f'another entry host with --admin ({error}).') from error
    response = _parse_json(body)
    if status == 200:
        return response
    raise exit_codes.CommandError(
        exit_codes.exit_code_for(response.get('kind', '')),
        _error_message(response, status))


def _error_message(problem: dict[str, Any], status: int) -> str:
    detail = problem.get('detail') or f'the response has status {status}'
    if problem.get('kind') == 'not_authenticated':
        detail += f' Give your key with --key_file or {_KEY_VARIABLE}.'
    if problem.get('kind') == 'conflict':
        detail += (' Read it with `pollenthread config get` and '
                   'make your change again.')
    return detail


def _parse_json(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise exit_codes.CommandError(
            exit_codes.ExitCode.UNAVAILABLE,
            f'{_ADMIN.value} is not an administration port: '
            'its response is not JSON.') from error


def _read_key() -> str:
    if _KEY_FILE.value is None:
        return os.environ.get(_KEY_VARIABLE, '')
    try:
        return pathlib.Path(_KEY_FILE.value).read_text('ascii').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise exit_codes.CommandError(
            exit_codes.ExitCode.NOT_FOUND,
            f'The key cannot be read: {error}.') from error


async def _send(method: str, target: str, document: Any) -> tuple[int, bytes]:
    body = b'' if document is None else json.dumps(document).encode()
    headers = [('authorization', f'Bearer {_read_key()}'),
               ('content-type', 'application/json')]
    async with asyncio.timeout(_TIMEOUT_S), http_client.HttpClient() as client:
        async with client.request(_ADMIN.value,
                                  method,
                                  target,
                                  headers=headers,
                                  body=body) as response:
            return response.status, await response.read_all()
