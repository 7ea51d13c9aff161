"""The operator's configuration of routes, services and workspaces.

In this module, priority 0 is the highest.
"""

import dataclasses
import enum
from collections.abc import Mapping

__all__ = [
    'CallerLimits', 'EngineProfile', 'RequestKind', 'Route', 'RoutingConfig',
    'Service', 'ServiceShare', 'KeyWorkspace', 'WarmUp', 'find_route'
]

# The platform's callers abandon a stream after the longest of these: a fixed
# time, some targets for the first event, and some allowed gaps between events.
_MIN_STREAM_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4
_PATIENCE_GAPS = 8


class RequestKind(enum.Enum):
    """Whether requests are idempotent and whether the response is a stream."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A destination service of a route.

    Attributes:
        service: the name of the service.
        weight: its share of the requests, relative to the other services.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route from a host name and path prefix to services.

    Attributes:
        name: the route's name.
        host: the value of the Host header that it matches.
        path_prefix: the path prefix that it matches; starts and ends with a
            slash.
        kind: the kind of its requests.
        timeout_s: request timeout in seconds.
        target_s: latency target in seconds.
        priority: request priority; 0 is the highest.
        shares: the services that its requests are distributed over.
        max_attempts: maximum number of servers tried for one request.
        is_public: whether requests need no API key.
        is_resumable: whether a stream can be resumed at another server.
        max_gap_s: longest time between events of a stream that counts as in
            time, in seconds.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool
    max_gap_s: float

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return (self.kind is RequestKind.IDEMPOTENT or
                (self.kind is RequestKind.STREAM and self.is_resumable))

    @property
    def stream_patience_s(self) -> float:
        """Seconds without an event after which callers abandon a stream."""
        return max(_MIN_STREAM_PATIENCE_S, _PATIENCE_TARGETS * self.target_s,
                   _PATIENCE_GAPS * self.max_gap_s)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """The configured speed and memory of a model engine.

    Attributes:
        slots: maximum number of requests in a batch.
        kv_cache_tokens: capacity of the key-value cache in tokens.
        base_step_s: duration of an empty decoding step, in seconds.
        step_s_per_sequence: seconds added to a step by each decoding request.
        step_s_per_context_token: seconds added to a step by each token of
            context.
        prefill_tokens_per_s: prompt tokens processed per second.
        prefill_s_per_token_pair: seconds added to prefill for each pair of a
            prompt token and an earlier token.
        prefill_chunk_tokens: maximum number of prompt tokens in a step.
        steps_per_pass: decoding steps in one forward pass.
        mean_prompt_tokens: mean number of tokens in a prompt.
        mean_output_tokens: mean number of tokens in a response.
        link_bytes_per_s: bandwidth at which a rank copies experts.
        sets: number of layer sets with separate experts; 0 if the model has no
            experts.
        experts: number of experts in a set.
        expert_slots: number of experts of a set that a rank can hold.
        spare_expert_slots: maximum number of experts of a set that one copy
            can add to a rank.
        expert_bytes: size of the weights of one expert of a set.
        expert_share: fraction of the computation that is done by experts.
    """

    slots: int
    kv_cache_tokens: int
    base_step_s: float
    step_s_per_sequence: float
    step_s_per_context_token: float
    prefill_tokens_per_s: float
    prefill_s_per_token_pair: float
    prefill_chunk_tokens: int
    steps_per_pass: int
    mean_prompt_tokens: float
    mean_output_tokens: float
    link_bytes_per_s: float
    sets: int
    experts: int
    expert_slots: int
    spare_expert_slots: int
    expert_bytes: float
    expert_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUp:
    """What a server of a service bears shortly after its start.

    Attributes:
        duration_s: seconds for which it is slow.
        requests_per_s: requests that it then bears in a second.
    """

    duration_s: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of servers with the same software.

    Attributes:
        name: the service's name.
        health_path: the path of the servers' health check.
        max_connections: maximum number of connections to one server.
        engine: the profile of the model engine; None for a plain service.
        warm_up: the warm-up of its servers; None if they have none.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None
    warm_up: WarmUp | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        max_header_bytes: maximum size of the request head.
        max_body_bytes: maximum size of the request body.
        header_timeout_s: seconds within which the request head must arrive.
        idle_timeout_s: seconds after which an idle connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWorkspace:
    """The workspace that owns an API key.

    Attributes:
        name: the workspace's name.
        priority: the priority of its requests; None if not set.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """One version of the configuration.

    Attributes:
        version: version number; increases with each change.
        routes_by_host: routes by host name, those with the longest prefix
            first.
        services_by_name: all services by name.
        limits: limits on callers' requests.
        workspaces_by_api_key: workspaces by API key; None if no keys are
            required.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    limits: CallerLimits
    workspaces_by_api_key: Mapping[str, KeyWorkspace] | None


def find_route(config: RoutingConfig, host: str, path: str) -> Route | None:
    """Returns the route with the longest matching path prefix, or None."""
    for route in config.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None
