"""What an agent decides about beginning, sealing and forgetting attempts."""

import enum

from pollenthread.core import messages

__all__ = ['AttemptPhase', 'may_start', 'must_be_retained', 'seal_state']


class AttemptPhase(enum.Enum):
    """How far an attempt has come at its agent."""

    RUNNING = 'running'
    DONE = 'done'
    ENDED_UNKNOWN = 'ended_unknown'
    ENDED_NOT_RUN = 'ended_not_run'


def may_start(*, bound_session: str, link_session: str, is_sealed: bool,
                  phase: AttemptPhase | None) -> bool:
    """Whether an attempt that is handed over may begin.

    Args:
        bound_session: the session that the attempt is bound to.
        link_session: the session of the link over which it came.
        is_sealed: whether the attempt was sealed in that session.
        phase: how far an attempt of this id has come, or None.
    """
    return bound_session == link_session and not is_sealed and phase is None


def seal_state(phase: AttemptPhase | None) -> messages.SealState:
    """What to answer when somebody wants an attempt sealed.

    Args:
        phase: how far the attempt has come; None when it is not known, so that
            it never begins once its session is sealed for it or has closed.
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
    """Whether forgetting an unconfirmed attempt could let it run twice."""
    return not repeatable and phase is not AttemptPhase.ENDED_NOT_RUN
