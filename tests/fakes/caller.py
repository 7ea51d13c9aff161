"""A caller that checks its own answers."""

import asyncio
import dataclasses
import json
from typing import Any

from pollenthread.adapters import http_client
from tests.fakes import engine

__all__ = [
    'ReceivedResponse', 'Caller', 'BackgroundRequest', 'PAYMENT',
    'PAYMENT_PATH', 'chat_document', 'stream_text'
]

PAYMENT = b'{"order": "mug", "amount_birr": 450}'
PAYMENT_PATH = '/services/orders/payments'
_MODEL = 'assistant-small'


@dataclasses.dataclass(frozen=True)
class ReceivedResponse:
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


def chat_document(tokens: int, stream: bool = True) -> dict[str, Any]:
    """A chat completion request."""
    return {
        'model': _MODEL,
        'stream': stream,
        'max_tokens': tokens,
        'messages': [{
            'role': 'user',
            'content': f'{tokens} words'
        }]
    }


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
                      body: bytes = b'') -> ReceivedResponse:
        """Sends a request and reads the whole answer.

        Raises:
            ConnectionError: there is no whole answer.
        """
        async with self._client.request(address,
                                        method,
                                        target,
                                        headers=list((headers or {}).items()),
                                        body=body) as exchange:
            return ReceivedResponse(exchange.status, dict(exchange.headers),
                                    await exchange.read_all())

    async def addresses(self, address: str, caller: str = 'demo') -> list[str]:
        """Asks an entry host which addresses to use."""
        answer = await self.request(address,
                                    'GET',
                                    '/v1/addresses',
                                    headers={'x-caller': caller})
        found: list[str] = answer.json['addresses']
        return found

    async def chat(self, address: str, work_class: str, document: dict[str,
                                                                       Any],
                   **headers: str) -> ReceivedResponse:
        """Sends a chat completion request."""
        return await self.request(address,
                                  'POST',
                                  '/v1/chat/completions',
                                  headers=self._headers(work_class, headers),
                                  body=json.dumps(document).encode())

    async def post(self, address: str, work_class: str, path: str, body: bytes,
                   **headers: str) -> ReceivedResponse:
        """Sends a request to a plain service."""
        return await self.request(address,
                                  'POST',
                                  path,
                                  headers=self._headers(work_class, headers),
                                  body=body)

    def start_chat(self, address: str, work_class: str, document: dict[str,
                                                                       Any],
                   **headers: str) -> 'BackgroundRequest':
        """Starts a chat completion request in the background."""
        return BackgroundRequest.start(self._client,
                                       address,
                                       '/v1/chat/completions',
                                       self._headers(work_class, headers),
                                       json.dumps(document).encode(),
                                       document=document)

    def start_post(self, address: str, work_class: str, path: str, body: bytes,
                   **headers: str) -> 'BackgroundRequest':
        """Starts a request to a plain service in the background."""
        return BackgroundRequest.start(self._client, address, path,
                                       self._headers(work_class, headers), body)

    def _headers(self, work_class: str, more: dict[str, str]) -> dict[str, str]:
        named = {name.replace('_', '-'): value for name, value in more.items()}
        return {
            'content-type': 'application/json',
            'x-workspace': self._workspace,
            'x-class': work_class,
            **named
        }

    @staticmethod
    def is_expected_response(document: dict[str, Any],
                             answer: ReceivedResponse) -> bool:
        """Whether a chat answer is the whole answer to this document."""
        if answer.status != 200:
            return False
        if document.get('stream'):
            text = stream_text(answer.body)
        else:
            text = answer.json['choices'][0]['message']['content']
        return text == engine.expected_text(document)


class BackgroundRequest:
    """A request in the background and the part of its answer so far.

    Attributes:
        document: the request's document, or None.
        answer: the whole answer, once it has come.
        error: why there is no whole answer.
        body: the part of the body so far.
    """

    def __init__(self, *, document: dict[str, Any] | None) -> None:
        self.document = document
        self.answer: ReceivedResponse | None = None
        self.error: ConnectionError | None = None
        self.body = b''
        self.task: asyncio.Task[None]

    @classmethod
    def start(cls,
              client: http_client.HttpClient,
              address: str,
              target: str,
              headers: dict[str, str],
              body: bytes,
              document: dict[str, Any] | None = None) -> 'BackgroundRequest':
        """Sends a request and follows its answer."""
        following = cls(document=document)
        following.task = asyncio.create_task(
            following._follow(client, address, target, headers, body))
        return following

    async def _follow(self, client: http_client.HttpClient, address: str,
                      target: str, headers: dict[str,
                                                 str], body: bytes) -> None:
        try:
            async with client.request(address,
                                      'POST',
                                      target,
                                      headers=list(headers.items()),
                                      body=body) as exchange:
                async for data in exchange.read():
                    self.body += data
                self.answer = ReceivedResponse(exchange.status,
                                               dict(exchange.headers),
                                               self.body)
        except ConnectionError as error:
            self.error = error
