"""The data of a caller's request."""

import dataclasses
import functools
import hashlib

from pollenthread.core import http_headers

__all__ = ['CallerRequest', 'PromptPart']

_DIGEST_BYTES = 8
# Occurs in none of the fields before the body.
_FIELD_END = b'\0'


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that may be shared with other requests.

    Attributes:
        id: identifies the content of the part.
        tokens: the number of tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One request of a caller.

    Attributes:
        id: the request id sent by the caller; empty if it sent none.
        method: the HTTP method.
        target: the request target: path and query as sent.
        host: the value of the Host header without the port.
        headers: headers to forward, without those that the load balancer
            sets.
        body: the complete body.
        api_key: the caller's API key, or None.
        timeout_s: seconds that the caller waits; None if it did not say.
        last_event_id: id of the last event that the caller received, or None.
        prompt_tokens: number of tokens in the prompt; 0 if unknown.
        max_output_tokens: maximum number of output tokens; 0 if unknown.
        prompt_parts: the parts of the prompt, in order.
        received_at: monotonic seconds at which the request arrived.
        output_tokens_hint: the caller's estimate of the output tokens, which
            may be far off; 0 if it gave none.
    """

    id: str
    method: str
    target: str
    host: str
    headers: tuple[http_headers.Header, ...]
    body: bytes
    api_key: str | None
    timeout_s: float | None
    last_event_id: str | None
    prompt_tokens: int
    max_output_tokens: int
    prompt_parts: tuple[PromptPart, ...]
    received_at: float
    output_tokens_hint: int = 0

    @functools.cached_property
    def digest(self) -> str:
        """Identifies the request when its caller sends it again.

        It covers what a repeated request has in common with the first one, and
        is the same on all hosts. It does not tell the body or the key.
        """
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for field in (self.method, self.host, self.target, self.api_key or ''):
            digest.update(field.encode() + _FIELD_END)
        digest.update(self.body)
        return digest.hexdigest()

    @property
    def path(self) -> str:
        """The request target without the query."""
        return self.target.partition('?')[0]
