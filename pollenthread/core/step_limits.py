"""Limits for one step of expert replication in a group.

The cost of a copy is the time for which its rank copies; its benefit is a
reduction of the work of the whole group. The limits are stated per second of
copying and in units of the load of one rank, so that they apply to groups with
any number of ranks and any link speed.
"""

import dataclasses
import math

from pollenthread.core import replication, routing_config

__all__ = ['StepLimits', 'limits_for']

# The maximum copying time of a rank in one step, in seconds. Passes take longer
# while ranks copy.
_MAX_COPYING_S = 0.2
# The minimum reduction of the load norm of a set per second of copying, summed
# over ranks, in units of the mean load.
_MIN_GAIN_PER_COPYING_S = 5.4
# The minimum reduction of the mean greatest load by a step: a fixed part for
# the switch, and a part per second of copying at the rank that copies most.
_MIN_SAVING_PER_SWITCH = 0.1
_MIN_SAVING_PER_COPYING_S = 0.84


@dataclasses.dataclass(frozen=True, slots=True)
class StepLimits:
    """The limits and the minimum benefit of a step.

    Attributes:
        replication_limits: the limits for the planner.
        copy_s: the time that a rank takes to copy one expert, in seconds.
    """

    replication_limits: replication.ReplicationLimits
    copy_s: float

    def is_worthwhile(self, step: replication.ReplicationStep) -> bool:
        """Returns whether the benefit of a step justifies its cost."""
        copying_s = step.max_copies_per_rank * self.copy_s
        min_saving = (_MIN_SAVING_PER_SWITCH +
                      _MIN_SAVING_PER_COPYING_S * copying_s)
        return step.before - step.after >= min_saving


def limits_for(engine: routing_config.EngineProfile, ranks: int) -> StepLimits:
    """Returns the limits for a group.

    Args:
        engine: the performance profile of its engine.
        ranks: the number of ranks in the group.
    """
    copy_s = 0.0
    if engine.link_bytes_per_s:
        copy_s = engine.expert_bytes / engine.link_bytes_per_s
    max_copies = engine.sets * engine.spare_expert_slots
    if copy_s:
        max_copies = min(max_copies, math.ceil(_MAX_COPYING_S / copy_s))
    limits = replication.ReplicationLimits(
        max_experts_per_rank=engine.expert_slots,
        max_new_per_set=engine.spare_expert_slots,
        max_copies=max(1, max_copies),
        min_gain=_MIN_GAIN_PER_COPYING_S * copy_s / ranks)
    return StepLimits(replication_limits=limits, copy_s=copy_s)
