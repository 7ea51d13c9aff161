"""A caller that checks its own answers."""

import dataclasses
import json
from typing import Any

from pollenthread.adapters import http_client
from tests.fakes import engine

__all__ = ['Answer', 'Caller', 'stream_text']


@dataclasses.dataclass(frozen=True)
class Answer:
    """One whole answer.

    Attributes:
        status: the HTTP status.
        headers: the headers by name.
        body: the whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


def stream_text(body: bytes) -> str:
    """The text of a stream of events.

    Raises:
        ValueError: the stream does not end with its last event.
    """
    events = [e for e in body.decode().split('\n\n') if e]
    if not events or events[-1] != 'data: [DONE]':
        raise ValueError('the stream is not whole')
    deltas = [json.loads(event[len('data: '):]) for event in events[:-1]]
    return ''.join(d['choices'][0]['delta']['content'] for d in deltas)


class Caller:
    """Asks for addresses and sends requests."""

    def __init__(self, *, client: http_client.HttpClient,
                 workspace: str) -> None:
        self._client = client
        self._workspace = workspace

    async def request(self,
                      address: str,
                      method: str,
                      target: str,
                      *,
                      headers: dict[str, str] | None = None,
                      body: bytes = b'') -> Answer:
        """Sends a request and reads the whole answer.

        Raises:
            ConnectionError: there is no whole answer.
        """
        async with self._client.request(address,
                                        method,
                                        target,
                                        headers=list((headers or {}).items()),
                                        body=body) as exchange:
            return Answer(exchange.status, dict(exchange.headers), await
                          exchange.read_all())

    async def addresses(self, address: str, caller: str = 'demo') -> list[str]:
        """Asks an entry host which addresses to use."""
        answer = await self.request(address,
                                    'GET',
                                    '/v1/addresses',
                                    headers={'x-caller': caller})
        found: list[str] = answer.json['addresses']
        return found

    async def chat(self, address: str, work_class: str,
                   document: dict[str, Any], **headers: str) -> Answer:
        """Sends a chat completion request."""
        return await self.request(address,
                                  'POST',
                                  '/v1/chat/completions',
                                  headers=self._headers(work_class, headers),
                                  body=json.dumps(document).encode())

    async def post(self, address: str, work_class: str, path: str, body: bytes,
                   **headers: str) -> Answer:
        """Sends a request to a plain service."""
        return await self.request(address,
                                  'POST',
                                  path,
                                  headers=self._headers(work_class, headers),
                                  body=body)

    def _headers(self, work_class: str, more: dict[str, str]) -> dict[str, str]:
        named = {name.replace('_', '-'): value for name, value in more.items()}
        return {
            'content-type': 'application/json',
            'x-workspace': self._workspace,
            'x-class': work_class,
            **named
        }

    @staticmethod
    def is_own_answer(document: dict[str, Any], answer: Answer) -> bool:
        """Whether a chat answer is the whole answer to this document."""
        if answer.status != 200:
            return False
        if document.get('stream'):
            text = stream_text(answer.body)
        else:
            text = answer.json['choices'][0]['message']['content']
        return text == engine.expected_text(document)
