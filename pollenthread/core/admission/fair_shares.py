"""Fair shares of workspaces by start-time fair queueing.

A workspace that was idle starts at the current virtual time, so its unused
share goes to the others and does not accumulate.
"""

import math
from collections.abc import Iterable

__all__ = ['FairShares']

_MAX_IDLE_WORKSPACES = 64


class FairShares:
    """The virtual start time of the next request of each workspace."""

    def __init__(self) -> None:
        self._virtual_start_by_workspace: dict[str, float] = {}
        self._virtual_time = 0.0

    def activate(self, workspace: str) -> None:
        """Records that a workspace has a request to serve."""
        self._virtual_start_by_workspace[workspace] = max(
            self.virtual_start(workspace), self._virtual_time)

    def virtual_start(self, workspace: str) -> float:
        """Returns the turn of a workspace; the least one is served next."""
        return self._virtual_start_by_workspace.get(workspace, -math.inf)

    def record_served(self, workspace: str) -> None:
        """Charges a workspace for a request that is served."""
        self.activate(workspace)
        self._virtual_time = self._virtual_start_by_workspace[workspace]
        self._virtual_start_by_workspace[workspace] += 1.0

    def forget_idle(self, active: Iterable[str]) -> None:
        """Drops workspaces without requests if there are many.

        Args:
            active: the workspaces with requests, which are kept; read only
                if there are many.
        """
        if len(self._virtual_start_by_workspace) <= _MAX_IDLE_WORKSPACES:
            return
        kept = frozenset(active)
        self._virtual_start_by_workspace = {
            workspace: virtual_start
            for workspace, virtual_start in
            self._virtual_start_by_workspace.items()
            if workspace in kept or virtual_start > self._virtual_time
        }
