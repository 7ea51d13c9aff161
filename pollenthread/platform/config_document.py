"""Decodes the operator's configuration document."""

import json

import pydantic
import result

from pollenthread.core import routing_config
from pollenthread.platform import names

__all__ = ['InvalidConfig', 'decode', 'decode_result']

_MS_PER_S = 1000.0
_BITS_PER_BYTE = 8
_MEGA = 1_000_000.0


class InvalidConfig(ValueError):
    """The document is not a configuration."""


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore')


class _Split(_Model):
    service: str
    weight: float = 1.0


class _Route(_Model):
    name: str = ''
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    can_resume: bool = False
    gap_aim_ms: float = 0.0


class _Usual(_Model):
    prompt: float = 500.0
    answer: float = 100.0


class _Engine(_Model):
    slots: int = 1
    kv_capacity_tokens: int = 0
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    # Milliseconds for each 1,000 tokens of context.
    context_per_k: float = 0.0
    # Prompt tokens in a second.
    read_per_s: float = 0.0
    # Milliseconds for each million pairs of tokens.
    pairs_per_m: float = 0.0
    chunk: int = 0
    stride: int = 1
    usual: _Usual = _Usual()
    link_mbps: float = 0.0
    sets: int = 0
    experts: int = 0
    places: int = 0
    spare: int = 0
    expert_mb: float = 0.0
    expert_share: float = 0.0


class _Service(_Model):
    name: str
    health_path: str = '/'
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(_Model):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Document(_Model):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


def decode(data: bytes) -> routing_config.RoutingConfig:
    """Decodes a whole document.

    Raises:
        InvalidConfig: it is not JSON or lacks what a configuration needs.
    """
    try:
        document = _Document.model_validate(json.loads(data))
        routes = [_route(found) for found in document.routes]
    except (ValueError, KeyError, RecursionError) as error:
        raise InvalidConfig(str(error)) from error
    return routing_config.RoutingConfig(
        version=document.version,
        routes_by_host=_by_host(routes),
        services_by_name={
            found.name: _service(found) for found in document.services
        },
        limits=_limits(document.limits),
        workspaces_by_key=_workspaces(document.tenants))


def decode_result(
        data: bytes) -> result.Result[routing_config.RoutingConfig, str]:
    """Decodes a whole document, or says what is wrong with it."""
    try:
        return result.Ok(decode(data))
    except InvalidConfig as error:
        return result.Err(str(error))


def _route(found: _Route) -> routing_config.Route:
    if found.traffic_split:
        shares = tuple(
            routing_config.ServiceShare(part.service, part.weight)
            for part in found.traffic_split
            if part.weight > 0)
    else:
        shares = (routing_config.ServiceShare(found.service or '', 1.0),)
    return routing_config.Route(name=found.name,
                                host=found.host,
                                path_prefix=found.path_prefix,
                                kind=names.KIND_WORDS[found.kind],
                                timeout_s=found.timeout_ms / _MS_PER_S,
                                target_s=found.target_latency_ms / _MS_PER_S,
                                priority=found.priority,
                                shares=shares,
                                max_attempts=max(1, found.max_attempts),
                                is_public=found.public,
                                is_resumable=found.can_resume,
                                max_gap_s=found.gap_aim_ms / _MS_PER_S)


def _by_host(
    routes: list[routing_config.Route]
) -> dict[str, tuple[routing_config.Route, ...]]:
    found: dict[str, list[routing_config.Route]] = {}
    for route in routes:
        found.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.path_prefix)))
        for host, group in found.items()
    }


def _service(found: _Service) -> routing_config.Service:
    engine = _engine(found.engine) if found.engine else None
    return routing_config.Service(name=found.name,
                                  health_path=found.health_path,
                                  max_connections=found.max_connections,
                                  engine=engine)


def _engine(found: _Engine) -> routing_config.EngineFigures:
    return routing_config.EngineFigures(
        slots=found.slots,
        kv_tokens=found.kv_capacity_tokens,
        step_s=found.step_ms / _MS_PER_S,
        per_sequence_s=found.per_seq_ms / _MS_PER_S,
        per_context_token_s=found.context_per_k / 1000 / _MS_PER_S,
        prompt_tokens_per_s=found.read_per_s,
        per_pair_s=found.pairs_per_m / _MEGA / _MS_PER_S,
        chunk_tokens=found.chunk,
        steps_per_pass=found.stride,
        usual_prompt_tokens=found.usual.prompt,
        usual_answer_tokens=found.usual.answer,
        link_bytes_per_s=found.link_mbps * _MEGA / _BITS_PER_BYTE,
        sets=found.sets,
        experts=found.experts,
        places=found.places,
        spare=found.spare,
        expert_bytes=found.expert_mb * _MEGA,
        expert_share=found.expert_share)


def _limits(found: _Limits) -> routing_config.CallerLimits:
    return routing_config.CallerLimits(
        max_header_bytes=found.max_header_bytes,
        max_body_bytes=found.max_body_bytes,
        header_timeout_s=found.header_timeout_ms / _MS_PER_S,
        idle_timeout_s=found.idle_timeout_ms / _MS_PER_S)


def _workspaces(
    tenants: list[_Tenant] | None
) -> dict[str, routing_config.Workspace] | None:
    if tenants is None:
        return None
    return {
        key: routing_config.Workspace(tenant.name, tenant.priority)
        for tenant in tenants for key in tenant.api_keys
    }
