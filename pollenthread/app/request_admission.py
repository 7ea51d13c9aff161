"""Admits requests by the configuration, before a server is selected."""

from pollenthread.app import graceful_shutdown, request_job, serving_state
from pollenthread.core import (caller_request, caller_wait, errors,
                               routing_config)
from pollenthread.ports import caller_response, clock

__all__ = ['RequestAdmission']

_DEFAULT_TIMEOUT_S = 30.0


class RequestAdmission:
    """Finds the route, workspace, service and deadline of each request."""

    def __init__(self, *, state: serving_state.ServingState,
                 shutdown_plan: graceful_shutdown.ShutdownPlan,
                 time: clock.Clock) -> None:
        self._state = state
        self._shutdown_plan = shutdown_plan
        self._clock = time
        self._caller_timeouts = caller_wait.CallerWaitEstimator()

    def admit(
            self, request: caller_request.CallerRequest,
            response: caller_response.CallerResponse) -> request_job.RequestJob:
        """Creates the job of a request.

        Args:
            request: the caller's request.
            response: receives the response.

        Raises:
            request_job.RequestFailed: the configuration or the host does not
                accept the request.
        """
        config = self._state.config
        if config is None or not self._state.is_configured:
            raise request_job.RequestFailed(
                errors.make_failure(errors.ErrorKind.STALE_CONFIGURATION))
        route = routing_config.find_route(config, request.host, request.path)
        if route is None:
            raise request_job.RequestFailed(
                errors.make_failure(errors.ErrorKind.NOT_FOUND))
        workspace = _authenticate(config, route, request)
        timeout_s = (_DEFAULT_TIMEOUT_S
                     if request.timeout_s is None else request.timeout_s)
        deadline = request.received_at + min(timeout_s, route.timeout_s)
        self._check_shutdown(route, deadline)
        service = self._state.pick_service(route)
        self._state.retry_budget_for(service).record_request(
            self._clock.monotonic())
        has_missed_target = (request.timeout_s is not None and
                             self._caller_timeouts.has_missed_target(
                                 route, request.timeout_s))
        return request_job.RequestJob(request, route, service, workspace,
                                      deadline, response, has_missed_target)

    def _check_shutdown(self, route: routing_config.Route,
                        deadline: float) -> None:
        """Rejects a request that might not end before the process exits.

        Raises:
            request_job.RequestFailed: the host shuts down too soon.
        """
        if self._state.shutdown_began_at is None:
            return
        now = self._clock.monotonic()
        is_stream = route.kind is routing_config.RequestKind.STREAM
        if not graceful_shutdown.accepts_request(
                self._shutdown_plan,
                now - self._state.shutdown_began_at,
                longest_s=deadline - now,
                is_resumable=is_stream and route.is_resumable):
            raise request_job.RequestFailed(
                errors.make_failure(errors.ErrorKind.LEAVING))


def _authenticate(
    config: routing_config.RoutingConfig, route: routing_config.Route,
    request: caller_request.CallerRequest
) -> routing_config.KeyWorkspace | None:
    """Finds the workspace that owns the request's key.

    Returns:
        The workspace; None when the route needs no key.

    Raises:
        request_job.RequestFailed: the route needs a valid key and the request
            has none.
    """
    if config.workspaces_by_api_key is None or route.is_public:
        return None
    workspace = config.workspaces_by_api_key.get(request.api_key or '')
    if workspace is None:
        raise request_job.RequestFailed(
            errors.make_failure(errors.ErrorKind.NOT_AUTHENTICATED))
    return workspace
