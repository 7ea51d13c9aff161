"""Rules by which an agent starts, seals and forgets attempts.

Sealing an attempt prevents it from starting later.
"""

import enum

from pollenthread.core import messages

__all__ = ['AttemptPhase', 'may_start', 'must_be_retained', 'seal_state']


class AttemptPhase(enum.Enum):
    """The state of an attempt at its agent."""

    RUNNING = 'running'
    DONE = 'done'
    ENDED_UNKNOWN = 'ended_unknown'
    ENDED_NOT_RUN = 'ended_not_run'


def may_start(*, bound_session: str, link_session: str, is_sealed: bool,
              phase: AttemptPhase | None) -> bool:
    """Returns whether a received attempt may start.

    Args:
        bound_session: the link session that the attempt is bound to.
        link_session: the session of the link over which it was received.
        is_sealed: whether the attempt was sealed in that session.
        phase: the phase of an attempt with the same id, or None.
    """
    return bound_session == link_session and not is_sealed and phase is None


def seal_state(phase: AttemptPhase | None) -> messages.SealState:
    """Returns the reply to a request to seal an attempt.

    Args:
        phase: the phase of the attempt, or None if the agent does not know the
            attempt. An unknown attempt cannot start after it was sealed or its
            session was closed.
    """
    match phase:
        case AttemptPhase.RUNNING:
            return messages.SealState.RUNNING
        case AttemptPhase.DONE:
            return messages.SealState.DONE
        case AttemptPhase.ENDED_UNKNOWN:
            return messages.SealState.UNKNOWN
        case _:
            return messages.SealState.SEALED


def must_be_retained(phase: AttemptPhase, *, repeatable: bool) -> bool:
    """Returns whether an unconfirmed attempt could run twice if forgotten."""
    return not repeatable and phase is not AttemptPhase.ENDED_NOT_RUN
