"""How long a caller has waited already, from what it says it will still wait.

Answers the load pattern "all callers come back at once after an outage": those
who come back have missed their aim already, and an answer is worth the same to
them a second later. They leave places to new callers, so that a wave of returns
does not make everybody late for as long as it drains.
"""

from pollenthread.core import routing_config

__all__ = ['CallerWaitEstimator']

_FULL_SHARE = 0.97
_SLACK = 1.02
_MAX_ROUTES = 10_000


class CallerWaitEstimator:
    """The longest time that callers of each route were willing to wait."""

    def __init__(self) -> None:
        self._longest_s_by_route: dict[str, float] = {}

    def waited_s(self, route: routing_config.Route, timeout_s: float) -> float:
        """Seconds that a caller has waited before this try.

        Args:
            route: the route of its request.
            patience_s: how long it will still wait.
        """
        longest_s = max(timeout_s, self._longest_s_by_route.get(route.name, 0))
        # Nobody is kept waiting longer than the route allows, so who claims
        # more patience than that does not make others look late.
        longest_s = min(longest_s, route.timeout_s * _SLACK)
        if len(self._longest_s_by_route) >= _MAX_ROUTES:
            self._longest_s_by_route.clear()
        self._longest_s_by_route[route.name] = longest_s
        if timeout_s > longest_s * _FULL_SHARE:
            return 0.0
        return longest_s - timeout_s

    def has_missed_target(self, route: routing_config.Route,
                       timeout_s: float) -> bool:
        """Whether no answer can be within the route's aim any more."""
        return self.waited_s(route, timeout_s) > route.target_s
