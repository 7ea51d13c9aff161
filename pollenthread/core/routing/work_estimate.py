"""The work that one request is expected to cause at its server.

Callers' hints are right at the median and often far off. How far the hints of
a route are off is learned from responses that are complete, apart for small and
large hints: a very large one is more often too large than too small.
"""

import bisect
import collections
import dataclasses

from pollenthread.core import caller_request, routing_config

__all__ = ['WorkEstimate', 'WorkEstimator']

# Ratios of the true length to the hint, half an octave apart.
_RATIOS = tuple(2.0**(n / 2) for n in range(-6, 7))
# Upper ends of the classes of hints, relative to the service's mean length.
_HINT_CLASS_ENDS = (0.25, 0.5, 1.0, 2.0, 4.0, 8.0)
_NO_HINT = len(_HINT_CLASS_ENDS) + 1
# Responses after which half of what was learned before is forgotten.
_HALF_LIFE_RESPONSES = 200
# Responses that the assumption of right hints counts for.
_INITIAL_WEIGHT = 4.0
_MAX_ROUTES = 256
_LOW_QUANTILE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEstimate:
    """The expected work of one request.

    Attributes:
        passes: forward passes until its response is complete; 0 if it is short.
        prompt_tokens: tokens that the server reads before the first event.
        prompt_s: seconds that reading them takes.
        kv_tokens: tokens that it keeps in the key-value cache at its end.
        low_passes: passes that its response takes more than with a probability
            of three quarters.
    """

    passes: float
    prompt_tokens: float = 0.0
    prompt_s: float = 0.0
    kv_tokens: float = 0.0
    low_passes: float = 0.0


class _LengthRatios:
    """A histogram of the ratio of true to expected lengths."""

    def __init__(self) -> None:
        self._weights = [0.0] * len(_RATIOS)
        self._weights[len(_RATIOS) // 2] = _INITIAL_WEIGHT

    def record(self, ratio: float) -> None:
        """Records the length of a response, relative to the expected one."""
        kept = 0.5**(1 / _HALF_LIFE_RESPONSES)
        self._weights = [weight * kept for weight in self._weights]
        # The two ratios around the value share its weight, so that the mean of
        # the histogram is that of the values.
        upper = bisect.bisect_left(_RATIOS, ratio)
        if upper in (0, len(_RATIOS)):
            self._weights[min(upper, len(_RATIOS) - 1)] += 1.0
            return
        low, high = _RATIOS[upper - 1], _RATIOS[upper]
        part = (ratio - low) / (high - low)
        self._weights[upper - 1] += 1.0 - part
        self._weights[upper] += part

    def mean(self, expected: float, cap: float) -> float:
        """Returns the mean length if none is longer than `cap`."""
        return sum(weight * min(cap, ratio * expected)
                   for ratio, weight in zip(_RATIOS, self._weights)) / sum(
                       self._weights)

    def quantile(self, expected: float, share: float) -> float:
        """Returns a length that at most a share of the responses stay under."""
        left = share * sum(self._weights)
        found = _RATIOS[0]
        for ratio, weight in zip(_RATIOS, self._weights):
            left -= weight
            if left < 0:
                break
            found = ratio
        return found * expected


class WorkEstimator:
    """Estimates the work of requests to model engines."""

    def __init__(self) -> None:
        self._ratios_by_route: collections.OrderedDict[str, dict[
            int, _LengthRatios]] = collections.OrderedDict()

    def estimate(self, request: caller_request.CallerRequest, route: str,
                 engine: routing_config.EngineProfile) -> WorkEstimate:
        """Estimates the work of a request.

        Args:
            request: the request.
            route: the name of its route.
            engine: the profile of the engine that serves it.
        """
        expected = request.output_tokens_hint or engine.mean_output_tokens
        cap = request.max_output_tokens or float('inf')
        ratios = self._ratios_by_route.get(route,
                                           {}).get(_hint_class(request, engine))
        if ratios is None:
            tokens = low_tokens = min(cap, expected)
        else:
            tokens = ratios.mean(expected, cap)
            low_tokens = min(cap, ratios.quantile(expected, _LOW_QUANTILE))
        prompt_tokens = request.prompt_tokens or engine.mean_prompt_tokens
        return WorkEstimate(passes=tokens / engine.steps_per_pass,
                            prompt_tokens=prompt_tokens,
                            prompt_s=_prompt_s(prompt_tokens, engine),
                            kv_tokens=prompt_tokens + tokens,
                            low_passes=low_tokens / engine.steps_per_pass)

    def record(self, request: caller_request.CallerRequest, route: str,
               engine: routing_config.EngineProfile,
               output_tokens: float) -> None:
        """Records the length of a complete response."""
        expected = request.output_tokens_hint or engine.mean_output_tokens
        if not expected or not output_tokens:
            return
        ratios_by_class = self._ratios_by_route.setdefault(route, {})
        self._ratios_by_route.move_to_end(route)
        if len(self._ratios_by_route) > _MAX_ROUTES:
            self._ratios_by_route.popitem(last=False)
        ratios_by_class.setdefault(_hint_class(
            request, engine), _LengthRatios()).record(output_tokens / expected)


def _prompt_s(tokens: float, engine: routing_config.EngineProfile) -> float:
    """Returns the seconds that reading a prompt takes."""
    if not engine.prefill_tokens_per_s:
        return 0.0
    pairs = tokens * tokens / 2
    return (tokens / engine.prefill_tokens_per_s +
            pairs * engine.prefill_s_per_token_pair)


def _hint_class(request: caller_request.CallerRequest,
                engine: routing_config.EngineProfile) -> int:
    """Returns the class of the request's hint by size."""
    if not request.output_tokens_hint:
        return _NO_HINT
    return bisect.bisect_left(
        _HINT_CLASS_ENDS,
        request.output_tokens_hint / engine.mean_output_tokens)
