"""Measures the passes of a group at one of its ranks.

The rank is polled at an interval that is not much longer than a pass, so a
duration is averaged over a few polls. A single one that differs much, such as
a group that stopped for a second, is no measure of the passes after it; two in
a row show that the passes have become slower or faster, and replace the rest.
"""

import collections
import dataclasses

__all__ = ['PassMeter', 'PassSample']

_SAMPLES = 4
_CHANGE_FACTOR = 2.5
# A counter that advances by more was not read for a while.
_MAX_PASSES = 100


@dataclasses.dataclass(frozen=True, slots=True)
class PassSample:
    """Passes between two polls of the rank.

    Attributes:
        passes: the number of passes.
        seconds: their total duration.
    """

    passes: int
    seconds: float

    @property
    def pass_s(self) -> float:
        """The mean duration of a pass in seconds."""
        return self.seconds / self.passes


class PassMeter:
    """Measures the duration of passes from a counter of them."""

    def __init__(self, *, now: float) -> None:
        """Initializes a meter without samples.

        Args:
            now: monotonic seconds.
        """
        self._samples: collections.deque[PassSample] = collections.deque(
            maxlen=_SAMPLES)
        self._deviating: PassSample | None = None
        self._step = -1
        self._epoch = -1
        self._had_work = False
        self._stepped_at = now

    def record(self, *, step: int, epoch: int, has_work: bool,
               now: float) -> PassSample | None:
        """Records a poll.

        Args:
            step: the number of the last pass that began.
            epoch: the epoch of the group; what was measured in another one is
                forgotten.
            has_work: whether the rank has requests. Without any, its group may
                make no passes.
            now: monotonic seconds.

        Returns:
            The passes since the previous poll; None if there were none or
            their duration is unknown.
        """
        if epoch != self._epoch or step < self._step:
            self._samples.clear()
            self._deviating = None
            self._had_work = False
        sample = None
        passes = step - self._step
        if self._had_work and has_work and 0 < passes < _MAX_PASSES:
            sample = PassSample(passes, now - self._stepped_at)
            self._add(sample)
        if step != self._step or not has_work or epoch != self._epoch:
            self._stepped_at = now
        self._step, self._epoch, self._had_work = step, epoch, has_work
        return sample

    def _add(self, sample: PassSample) -> None:
        if not self._samples or _is_similar(sample.pass_s, self.pass_s):
            self._samples.append(sample)
            self._deviating = None
        elif self._deviating is None or not _is_similar(sample.pass_s,
                                                        self._deviating.pass_s):
            self._deviating = sample
        else:
            self._samples.clear()
            self._samples.extend((self._deviating, sample))
            self._deviating = None

    @property
    def pass_s(self) -> float:
        """The recent duration of a pass in seconds; 0 if unknown."""
        passes = sum(sample.passes for sample in self._samples)
        seconds = sum(sample.seconds for sample in self._samples)
        return seconds / passes if passes else 0.0

    def stalled_s(self, now: float) -> float:
        """Returns the seconds since the last pass began; 0 without requests."""
        return now - self._stepped_at if self._had_work else 0.0


def _is_similar(first: float, second: float) -> bool:
    return 1 / _CHANGE_FACTOR < first / second < _CHANGE_FACTOR
