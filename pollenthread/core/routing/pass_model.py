"""How many requests the servers of a group can run with short enough passes.

A pass gets longer with each running request. When a slow rank, or experts that
are in uneven demand, stretch all passes, fewer requests than there are slots
can run without delaying the events of streams.
"""

from pollenthread.core import routing_config

__all__ = ['predict_pass_s', 'slots_within_gap']

# Passes vary around their mean, and one that is too long delays every stream.
_GAP_SHARE = 0.85
# What a late response is worth to a caller, relative to one in time.
_LATE_VALUE = 0.5


def predict_pass_s(engine: routing_config.EngineProfile,
                   running: float) -> float:
    """Returns the duration of a pass of an even group, in seconds.

    Args:
        engine: the profile of the engine.
        running: requests that each of its ranks runs.
    """
    context_tokens = engine.mean_prompt_tokens + engine.mean_output_tokens / 2
    step_s = engine.base_step_s + running * (
        engine.step_s_per_sequence +
        engine.step_s_per_context_token * context_tokens)
    return engine.steps_per_pass * step_s


def slots_within_gap(engine: routing_config.EngineProfile, *, slots: int,
                     stretch: float, max_gap_s: float) -> float:
    """Returns the requests that each rank should run at most.

    This is the number whose passes keep the allowed gap. If they would complete
    so few responses that more value comes from late ones, all slots are used.

    Args:
        engine: the profile of the engine.
        slots: requests that a rank can run at once.
        stretch: the measured duration of a pass divided by the predicted one.
        max_gap_s: longest allowed time between events, in seconds.
    """
    empty_s = stretch * predict_pass_s(engine, 0)
    full_s = stretch * predict_pass_s(engine, slots)
    allowed_s = max_gap_s * _GAP_SHARE
    if full_s <= allowed_s or full_s <= empty_s:
        return float(slots)
    in_time = max(0.0, slots * (allowed_s - empty_s) / (full_s - empty_s))
    if in_time < 1 or in_time / allowed_s < _LATE_VALUE * slots / full_s:
        return float(slots)
    return in_time
