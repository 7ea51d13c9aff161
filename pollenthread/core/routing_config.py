"""The operator's configuration of routes, services and workspaces."""

import dataclasses
import enum
from collections.abc import Mapping

__all__ = [
    'CallerLimits', 'EngineProfile', 'RequestKind', 'Route', 'RoutingConfig',
    'Service', 'ServiceShare', 'KeyWorkspace', 'find_route'
]


class RequestKind(enum.Enum):
    """What a request allows to be done with it."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that a route sends to, and its relative weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route of the operator.

    Attributes:
        name: the operator's name for it.
        host: the value of the Host header that it serves.
        path_prefix: begins and ends with a slash.
        kind: what may be repeated.
        timeout_s: the longest time that a caller is kept waiting.
        target_s: the latency target.
        priority: 0 is the most important.
        shares: the services that take its requests.
        max_attempts: servers that one request may be sent to.
        is_public: whether requests need no key.
        is_resumable: whether a stream may go on at another server.
        max_gap_s: the longest pause between events of a stream in time.
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
        """Whether a request may run again when it has run already."""
        return (self.kind is RequestKind.IDEMPOTENT or
                (self.kind is RequestKind.STREAM and self.is_resumable))


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """What the operator says of a model engine's speed and memory.

    Attributes:
        slots: requests in one batch.
        kv_tokens: tokens that its memory holds.
        step_s: a token step without work.
        per_sequence_s: added to a step by each writing request.
        per_context_token_s: added to a step by each token of context.
        prompt_tokens_per_s: the speed of reading prompts.
        per_pair_s: added for each pair of a prompt token and an earlier one.
        chunk_tokens: prompt tokens read in a step at most.
        steps_per_pass: token steps in a pass that writes.
        usual_prompt_tokens: mean length of a prompt.
        usual_answer_tokens: mean length of an answer.
        link_bytes_per_s: the speed at which a rank copies experts.
        sets: sets of layers with experts of their own; 0 without experts.
        experts: experts in a set.
        places: experts that a rank holds in a set.
        spare: experts new to a rank in a set that one copy may bring.
        expert_bytes: the weights of one expert of a set.
        expert_share: the part of the work that experts do.
    """

    slots: int
    kv_tokens: int
    step_s: float
    per_sequence_s: float
    per_context_token_s: float
    prompt_tokens_per_s: float
    per_pair_s: float
    chunk_tokens: int
    steps_per_pass: int
    mean_prompt_tokens: float
    mean_output_tokens: float
    link_bytes_per_s: float
    sets: int
    experts: int
    places: int
    spare: int
    expert_bytes: float
    expert_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of servers with the same software.

    Attributes:
        name: the operator's name for it.
        health_path: where a server tells whether it is healthy.
        max_connections: connections that one server accepts of all callers.
        engine: the figures of a model engine; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWorkspace:
    """The holder of keys; 0 is the most important priority, None unset."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """One version of the configuration.

    Attributes:
        version: rises with each version.
        routes_by_host: routes with the longest prefix first.
        services_by_name: all services.
        limits: what callers may send.
        workspaces_by_key: who holds a key; None when no keys are needed.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    limits: CallerLimits
    workspaces_by_key: Mapping[str, KeyWorkspace] | None


def find_route(config: RoutingConfig, host: str, path: str) -> Route | None:
    """The route with the longest prefix that begins the path."""
    for route in config.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None
