"""A caller that sends requests and verifies the responses."""

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
    """A completely received response.

    Attributes:
        status: the HTTP status code.
        headers: the headers by name.
        body: the complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body, decoded as JSON."""
        return json.loads(self.body)


def chat_document(tokens: int, stream: bool = True) -> dict[str, Any]:
    """Returns a chat completion request.

    Args:
        tokens: the number of tokens to generate.
        stream: whether the response is to be streamed.
    """
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
    """Returns the text of a streamed chat completion.

    Raises:
        ValueError: the stream does not end with the `[DONE]` event.
    """
    events = [e for e in body.decode().split('\n\n') if e]
    if not events or events[-1] != 'data: [DONE]':
        raise ValueError('event stream does not end with [DONE]')
    chunks = [json.loads(event[len('data: '):]) for event in events[:-1]]
    return ''.join(d['choices'][0]['delta']['content'] for d in chunks)


class Caller:
    """Requests addresses and sends requests to entry hosts."""

    def __init__(self, *, client: http_client.HttpClient,
                 workspace: str) -> None:
        """Initializes the caller.

        Args:
            client: the HTTP client.
            workspace: the workspace of all requests.
        """
        self._client = client
        self._workspace = workspace

    async def request(self,
                      address: str,
                      method: str,
                      target: str,
                      *,
                      headers: dict[str, str] | None = None,
                      body: bytes = b'') -> ReceivedResponse:
        """Sends a request and reads the complete response.

        Args:
            address: the `ip:port` of the server.
            method: the HTTP method.
            target: the path and query.
            headers: the headers by name.
            body: the request body.

        Returns:
            The complete response.

        Raises:
            ConnectionError: the response was not received completely.
        """
        async with self._client.request(address,
                                        method,
                                        target,
                                        headers=list((headers or {}).items()),
                                        body=body) as response:
            return ReceivedResponse(response.status, dict(response.headers),
                                    await response.read_all())

    async def addresses(self, address: str, caller: str = 'demo') -> list[str]:
        """Requests the addresses that a caller is to use.

        Args:
            address: the address of an entry host.
            caller: the name of the caller.

        Returns:
            The addresses of entry hosts.
        """
        response = await self.request(address,
                                      'GET',
                                      '/v1/addresses',
                                      headers={'x-caller': caller})
        addresses: list[str] = response.json['addresses']
        return addresses

    async def chat(self, address: str, work_class: str, document: dict[str,
                                                                       Any],
                   **headers: str) -> ReceivedResponse:
        """Sends a chat completion request.

        Args:
            address: the address of an entry host.
            work_class: the class of the request.
            document: the request document.
            **headers: more headers, with `_` in place of `-`.
        """
        return await self.request(address,
                                  'POST',
                                  '/v1/chat/completions',
                                  headers=self._headers(work_class, headers),
                                  body=json.dumps(document).encode())

    async def post(self, address: str, work_class: str, path: str, body: bytes,
                   **headers: str) -> ReceivedResponse:
        """Sends a `POST` request to a service.

        Args:
            address: the address of an entry host.
            work_class: the class of the request.
            path: the path.
            body: the request body.
            **headers: more headers, with `_` in place of `-`.
        """
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
        """Starts a `POST` request to a service in the background."""
        return BackgroundRequest.start(self._client, address, path,
                                       self._headers(work_class, headers), body)

    def _headers(self, work_class: str,
                 header_fields: dict[str, str]) -> dict[str, str]:
        extra_headers = {
            name.replace('_', '-'): value
            for name, value in header_fields.items()
        }
        return {
            'content-type': 'application/json',
            'x-workspace': self._workspace,
            'x-class': work_class,
            **extra_headers
        }

    @staticmethod
    def is_expected_response(document: dict[str, Any],
                             response: ReceivedResponse) -> bool:
        """Returns whether a chat response is complete and fits its request."""
        if response.status != 200:
            return False
        if document.get('stream'):
            text = stream_text(response.body)
        else:
            text = response.json['choices'][0]['message']['content']
        return text == engine.expected_text(document)


class BackgroundRequest:
    """A request in the background and the response received so far.

    Attributes:
        document: the request document, or None.
        answer: the complete response; None until it has been received.
        error: why the response is incomplete, or None.
        body: the part of the body that has been received.
        task: the task that receives the response.
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
        """Sends a `POST` request and receives its response in a task.

        Args:
            client: the HTTP client.
            address: the `ip:port` of the server.
            target: the path and query.
            headers: the headers by name.
            body: the request body.
            document: the request document, or None.
        """
        request = cls(document=document)
        request.task = asyncio.create_task(
            request._receive_response(client, address, target, headers, body))
        return request

    async def _receive_response(self, client: http_client.HttpClient,
                                address: str, target: str,
                                headers: dict[str, str], body: bytes) -> None:
        try:
            async with client.request(address,
                                      'POST',
                                      target,
                                      headers=list(headers.items()),
                                      body=body) as response:
                async for data in response.read():
                    self.body += data
                self.answer = ReceivedResponse(response.status,
                                               dict(response.headers),
                                               self.body)
        except ConnectionError as error:
            self.error = error
