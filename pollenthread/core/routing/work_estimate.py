"""The work that one request is expected to cause at its server."""

import dataclasses

__all__ = ['WorkEstimate']


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEstimate:
    """The expected work of one request.

    Attributes:
        passes: forward passes until its response is complete; 0 if it is short.
        prompt_tokens: tokens that the server reads before the first event.
        kv_tokens: tokens that it keeps in the key-value cache at its end.
    """

    passes: float
    prompt_tokens: float = 0.0
    kv_tokens: float = 0.0
