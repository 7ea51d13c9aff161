"""How far one step of a group's map may go.

What a copy costs is the time for which its rank copies; what it brings is a
part of the whole group's work. So limits are stated for a second of copying
and for the load of one rank, and hold for groups of any width and any links.
"""

import dataclasses
import math

from pollenthread.core import replication, routing_config

__all__ = ['StepLimits', 'limits_for']

# Passes take longer while ranks copy.
_COPY_S = 0.2
# What a copy must take off the norm of its set's loads for each second that it
# takes, summed over ranks, in units of the mean load.
_GAIN_A_COPY_S = 5.4
# What a step must take off the mean of the greatest loads: for the switch, and
# for each second that the busiest rank copies.
_SAVING_A_SWITCH = 0.1
_SAVING_A_COPY_S = 0.84


@dataclasses.dataclass(frozen=True, slots=True)
class StepLimits:
    """What a step may cost, and what it must bring.

    Attributes:
        shape: what the planner keeps to.
        copy_s: how long a rank copies one expert, in seconds.
    """

    replication_limits: replication.ReplicationLimits
    copy_s: float

    def is_worthwhile(self, step: replication.ReplicationStep) -> bool:
        """Whether a step brings enough for what it costs."""
        if not step.copies:
            return False
        copying_s = step.max_copies_per_rank * self.copy_s
        min_saving = _SAVING_A_SWITCH + _SAVING_A_COPY_S * copying_s
        return step.before - step.after >= min_saving


def limits_for(figures: routing_config.EngineFigures, ranks: int) -> StepLimits:
    """The limits of one group.

    Args:
        figures: its engine's figures.
        ranks: how many ranks it has.
    """
    copy_s = 0.0
    if figures.link_bytes_per_s:
        copy_s = figures.expert_bytes / figures.link_bytes_per_s
    max_copies = figures.sets * figures.spare
    if copy_s:
        max_copies = min(max_copies, math.ceil(_COPY_S / copy_s))
    shape = replication.ReplicationLimits(max_experts_per_rank=figures.places,
                                          max_new_per_set=figures.spare,
                                          max_copies=max(1, max_copies),
                                          min_gain=_GAIN_A_COPY_S * copy_s /
                                          ranks)
    return StepLimits(replication_limits=shape, copy_s=copy_s)
