"""Claims of idempotency keys, for work that must run at most once.

A claim is a table row that is inserted before an agent starts the work. It
identifies the attempt, and the agent incarnation and link session that may
start it. A repeated request starts a second attempt only after the agent of
the first attempt has sealed it.
"""

import dataclasses
import enum

from pollenthread.core import http_headers, messages

__all__ = [
    'Claim', 'ClaimState', 'StoredResponse', 'RETENTION_S', 'ClaimAction',
    'action_after_seal', 'digest_matches', 'initial_action', 'has_ended',
    'is_expired'
]

RETENTION_S = 24 * 3600


class ClaimState(enum.StrEnum):
    """The recorded state of the claimed attempt."""

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class StoredResponse:
    """The response of a finished attempt, stored for repeated requests.

    Attributes:
        status: the HTTP status code.
        headers: the response headers.
        body: the complete response body.
    """

    status: int
    headers: tuple[http_headers.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Claim:
    """The claim row of one idempotency key.

    Attributes:
        attempt: id of the attempt that holds the claim.
        host: the upstream host whose agent may start the attempt.
        incarnation: the incarnation of that agent.
        session: the link session that the attempt is bound to.
        digest: digest of the request that claimed the key.
        state: the recorded state of the attempt.
        outcome: the stored response once the attempt is done, or None.
        claimed_at_s: Unix seconds at which the key was first claimed.
    """

    attempt: str
    host: str
    incarnation: str
    session: str
    digest: str
    state: ClaimState = ClaimState.CLAIMED
    outcome: StoredResponse | None = None
    claimed_at_s: int = 0


class ClaimAction(enum.Enum):
    """The next action of an entry host for an idempotency key."""

    BEGIN = 'begin'
    INSERT = 'insert'
    REPLAY = 'replay'
    REJECT_REUSED = 'refuse_reused'
    ASK_SEAL = 'ask_seal'
    TAKE_OVER = 'take_over'
    ATTACH = 'attach'
    REPORT_UNKNOWN = 'report_unknown'


def is_expired(claim: Claim, now_s: float) -> bool:
    """Returns whether a claim is so old that its key may be reused.

    Args:
        claim: the claim row.
        now_s: the current time in Unix seconds.
    """
    return now_s - claim.claimed_at_s >= RETENTION_S


def digest_matches(claim: Claim, digest: str) -> bool:
    """Returns whether a repeated request has the digest of the claim."""
    return claim.digest == digest


def initial_action(claim: Claim | None, *, attempt: str,
                   digest: str) -> ClaimAction:
    """Returns the first action, based on the row in the table.

    Args:
        claim: the claim row, or None if the key is not claimed.
        attempt: id of the attempt of the current request.
        digest: digest of the current request.
    """
    if claim is None:
        return ClaimAction.INSERT
    if not digest_matches(claim, digest):
        return ClaimAction.REJECT_REUSED
    if claim.state is ClaimState.DONE:
        return ClaimAction.REPLAY
    if claim.state is ClaimState.UNKNOWN:
        return ClaimAction.REPORT_UNKNOWN
    if claim.attempt == attempt:
        return ClaimAction.BEGIN
    return ClaimAction.ASK_SEAL


def action_after_seal(claim: Claim, *, incarnation: str,
                      state: messages.SealState | None) -> ClaimAction:
    """Returns the next action, based on an agent's reply to a seal request.

    Args:
        claim: the claim row whose attempt was to be sealed.
        incarnation: incarnation of the agent that replied; empty if none
            did.
        state: the state in the reply, or None if there was no reply.
    """
    if state is None or incarnation != claim.incarnation:
        return ClaimAction.REPORT_UNKNOWN
    if state is messages.SealState.SEALED:
        return ClaimAction.TAKE_OVER
    if state in (messages.SealState.RUNNING, messages.SealState.DONE):
        return ClaimAction.ATTACH
    return ClaimAction.REPORT_UNKNOWN


def has_ended(claim: Claim | None) -> bool:
    """Returns whether a row proves that an agent may forget the attempt.

    A read may return an outdated row. Only the state of an ended claim is
    final, so a missing row or an open claim of another attempt proves nothing.

    Args:
        claim: the row as read, or None if there was none.
    """
    return claim is not None and claim.state is not ClaimState.CLAIMED
