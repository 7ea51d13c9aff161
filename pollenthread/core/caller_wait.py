"""Estimates how long a caller has waited from the timeout that it sends.

Used when all callers retry at once after an outage. Their requests have missed
the latency target already, so a further second of delay does not change the
result for them. They leave slots to new requests; otherwise the wave of retries
would make all requests late until it is served.
"""

from pollenthread.core import routing_config

__all__ = ['CallerWaitEstimator']

_FIRST_TRY_SHARE = 0.97
_TIMEOUT_TOLERANCE = 1.02
_MAX_ROUTES = 10_000


class CallerWaitEstimator:
    """Estimates waiting times from the largest timeout seen on each route."""

    def __init__(self) -> None:
        self._max_timeout_s_by_route: dict[str, float] = {}

    def waited_s(self, route: routing_config.Route, timeout_s: float) -> float:
        """Returns the seconds that a caller waited before this attempt.

        Args:
            route: the route of the request.
            timeout_s: seconds for which the caller will still wait.
        """
        max_timeout_s = max(timeout_s,
                            self._max_timeout_s_by_route.get(route.name, 0))
        # Bounded by the timeout of the route, so that one caller with a larger
        # timeout does not make the other callers appear late.
        max_timeout_s = min(max_timeout_s, route.timeout_s * _TIMEOUT_TOLERANCE)
        if len(self._max_timeout_s_by_route) >= _MAX_ROUTES:
            self._max_timeout_s_by_route.clear()
        self._max_timeout_s_by_route[route.name] = max_timeout_s
        if timeout_s > max_timeout_s * _FIRST_TRY_SHARE:
            return 0.0
        return max_timeout_s - timeout_s

    def has_missed_target(self, route: routing_config.Route,
                          timeout_s: float) -> bool:
        """Returns whether a response can no longer meet the route's target.

        Args:
            route: the route of the request.
            timeout_s: seconds for which the caller will still wait.
        """
        return self.waited_s(route, timeout_s) > route.target_s
