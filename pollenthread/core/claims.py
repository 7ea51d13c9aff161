"""Claims that let work which may not be repeated run at most once.

A claim is one row of the table, inserted before an agent begins. It names the
attempt, the agent's incarnation and the link session that may begin it. A
repeat of the request never begins a second attempt before the agent that holds
the first has sealed it.
"""

import dataclasses
import enum

from pollenthread.core import http_headers, messages

__all__ = [
    'Claim', 'ClaimState', 'StoredResponse', 'RETENTION_S', 'ClaimAction', 'action_after_seal',
    'digest_matches', 'initial_action', 'has_ended', 'is_expired'
]

RETENTION_S = 24 * 3600


class ClaimState(enum.StrEnum):
    """How far the claimed attempt is known to have come."""

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class StoredResponse:
    """The kept answer of a finished attempt.

    Attributes:
        status: the HTTP status code.
        headers: the answer's headers.
        body: the whole body.
    """

    status: int
    headers: tuple[http_headers.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Claim:
    """One row: who may begin the work under one idempotency key.

    Attributes:
        attempt: the attempt that holds the claim.
        host: the upstream host whose agent may begin it.
        incarnation: that agent's incarnation.
        session: the link session that the attempt is bound to.
        digest: a digest of the request that claimed the key.
        state: how far the attempt came.
        outcome: the kept answer once done.
        claimed_at_s: when the key was claimed first, seconds since 1970.
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
    """What an entry host does next about a key."""

    BEGIN = 'begin'
    INSERT = 'insert'
    REPLAY = 'replay'
    REFUSE_REUSED = 'refuse_reused'
    ASK_SEAL = 'ask_seal'
    TAKE_OVER = 'take_over'
    ATTACH = 'attach'
    REPORT_UNKNOWN = 'report_unknown'


def is_expired(claim: Claim, now_s: float) -> bool:
    """Whether a claim is so old that its key may be used again.

    Args:
        claim: the row.
        now_s: seconds since 1970.
    """
    return now_s - claim.claimed_at_s >= RETENTION_S


def digest_matches(claim: Claim, digest: str) -> bool:
    """Whether a repeat carries the same request as the claim's."""
    return claim.digest == digest


def initial_action(claim: Claim | None, *, attempt: str, digest: str) -> ClaimAction:
    """Decides from the row that the table holds.

    Args:
        claim: the row, or None when the key has none.
        attempt: the caller's own attempt.
        digest: the digest of the caller's request.
    """
    if claim is None:
        return ClaimAction.INSERT
    if not digest_matches(claim, digest):
        return ClaimAction.REFUSE_REUSED
    if claim.state is ClaimState.DONE:
        return ClaimAction.REPLAY
    if claim.state is ClaimState.UNKNOWN:
        return ClaimAction.REPORT_UNKNOWN
    if claim.attempt == attempt:
        return ClaimAction.BEGIN
    return ClaimAction.ASK_SEAL


def action_after_seal(claim: Claim, *, incarnation: str,
               state: messages.SealState | None) -> ClaimAction:
    """Decides from what the claimed agent answered to a seal.

    Args:
        claim: the row that the seal was asked for.
        incarnation: the incarnation that answered; empty when none did.
        state: the agent's answer, or None when none came.
    """
    if state is None or incarnation != claim.incarnation:
        return ClaimAction.REPORT_UNKNOWN
    if state is messages.SealState.SEALED:
        return ClaimAction.TAKE_OVER
    if state in (messages.SealState.RUNNING, messages.SealState.DONE):
        return ClaimAction.ATTACH
    return ClaimAction.REPORT_UNKNOWN


def has_ended(claim: Claim | None) -> bool:
    """Whether a row proves that its agent may forget the attempt.

    A read may be old. Only an ended claim stays what it is, so only an ended
    claim is proof; a missing row or another attempt's open claim is none.

    Args:
        claim: the row as it was read, or None when there was none.
    """
    return claim is not None and claim.state is not ClaimState.CLAIMED
