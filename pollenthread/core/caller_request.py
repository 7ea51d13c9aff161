"""A caller's request as the product sees it."""

import dataclasses

from pollenthread.core import http_headers

__all__ = ['CallerRequest', 'PromptPart']


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller.

    Attributes:
        id: names this attempt; empty when the caller gave none.
        method: the HTTP method.
        target: path and query as sent.
        host: the Host header without a port.
        headers: headers to pass on, without those that the product sets.
        body: the whole body.
        key: the caller's key, or None.
        patience_s: how long the caller waits; None when it does not say.
        last_event_id: the last event that the caller has, or None.
        prompt_tokens: the length of its prompt; 0 when unknown.
        max_output_tokens: the most tokens that it may get; 0 when unknown.
        prompt_parts: the parts of its prompt in order.
        received_at: monotonic seconds of its arrival.
    """

    id: str
    method: str
    target: str
    host: str
    headers: tuple[http_headers.Header, ...]
    body: bytes
    key: str | None
    timeout_s: float | None
    last_event_id: str | None
    prompt_tokens: int
    max_output_tokens: int
    prompt_parts: tuple[PromptPart, ...]
    received_at: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]
