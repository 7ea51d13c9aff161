"""Decodes the operator's configuration document."""

import json

import result

from pollenthread.core import routing_config
from pollenthread.platform import fields, names

__all__ = ['InvalidConfig', 'decode', 'decode_result']

_MS_PER_S = 1000.0
_BITS_PER_BYTE = 8
_MEGA = 1_000_000.0


class InvalidConfig(ValueError):
    """The document is not a configuration."""


def decode(data: bytes) -> routing_config.RoutingConfig:
    """Decodes a whole document.

    Raises:
        InvalidConfig: it is not JSON or lacks what a configuration needs.
    """
    try:
        return _config(fields.Fields(json.loads(data)))
    except (ValueError, KeyError, RecursionError) as error:
        raise InvalidConfig(str(error)) from error


def decode_result(
        data: bytes) -> result.Result[routing_config.RoutingConfig, str]:
    """Decodes a whole document, or says what is wrong with it."""
    try:
        return result.Ok(decode(data))
    except InvalidConfig as error:
        return result.Err(str(error))


def _config(document: fields.Fields) -> routing_config.RoutingConfig:
    services = map(_service, _required(document, 'services'))
    return routing_config.RoutingConfig(
        version=document.whole('version'),
        routes_by_host=_by_host(
            [_route(found) for found in _required(document, 'routes')]),
        services_by_name={service.name: service for service in services},
        limits=_limits(document.fields('limits')),
        workspaces_by_api_key=_workspaces(document))


def _required(document: fields.Fields, name: str) -> list[fields.Fields]:
    if not document.has(name):
        raise fields.InvalidField(f'{name} is missing')
    return document.each(name)


def _route(found: fields.Fields) -> routing_config.Route:
    return routing_config.Route(
        name=found.text('name', ''),
        host=found.text('host'),
        path_prefix=found.text('path_prefix'),
        kind=names.KIND_WORDS[found.text('kind')],
        timeout_s=found.number('timeout_ms') / _MS_PER_S,
        target_s=found.number('target_latency_ms', 1000.0) / _MS_PER_S,
        priority=found.whole('priority', 0),
        shares=_shares(found),
        max_attempts=max(1, found.whole('max_attempts', 1)),
        is_public=found.flag('public', False),
        is_resumable=found.flag('can_resume', False),
        max_gap_s=found.number('gap_aim_ms', 0.0) / _MS_PER_S)


def _shares(route: fields.Fields) -> tuple[routing_config.ServiceShare, ...]:
    parts = route.each('traffic_split')
    if not parts:
        only = routing_config.ServiceShare(route.text('service', ''), 1.0)
        return (only,)
    shares = (routing_config.ServiceShare(part.text('service'),
                                          part.number('weight', 1.0))
              for part in parts)
    return tuple(share for share in shares if share.weight > 0)


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


def _service(found: fields.Fields) -> routing_config.Service:
    engine = _engine(found.fields('engine')) if found.has('engine') else None
    return routing_config.Service(name=found.text('name'),
                                  health_path=found.text('health_path', '/'),
                                  max_connections=found.whole(
                                      'max_connections', 100),
                                  engine=engine)


def _engine(found: fields.Fields) -> routing_config.EngineProfile:
    usual = found.fields('usual')
    return routing_config.EngineProfile(
        slots=found.whole('slots', 1),
        kv_cache_tokens=found.whole('kv_capacity_tokens', 0),
        base_step_s=found.number('step_ms', 0.0) / _MS_PER_S,
        step_s_per_sequence=found.number('per_seq_ms', 0.0) / _MS_PER_S,
        # Milliseconds for each 1,000 tokens of context.
        step_s_per_context_token=found.number('context_per_k', 0.0) / 1000 /
        _MS_PER_S,
        # Prompt tokens in a second.
        prefill_tokens_per_s=found.number('read_per_s', 0.0),
        # Milliseconds for each million pairs of tokens.
        prefill_s_per_token_pair=found.number('pairs_per_m', 0.0) / _MEGA / _MS_PER_S,
        prefill_chunk_tokens=found.whole('chunk', 0),
        steps_per_pass=found.whole('stride', 1),
        mean_prompt_tokens=usual.number('prompt', 500.0),
        mean_output_tokens=usual.number('answer', 100.0),
        link_bytes_per_s=found.number('link_mbps', 0.0) * _MEGA /
        _BITS_PER_BYTE,
        sets=found.whole('sets', 0),
        experts=found.whole('experts', 0),
        expert_slots=found.whole('places', 0),
        spare_expert_slots=found.whole('spare', 0),
        expert_bytes=found.number('expert_mb', 0.0) * _MEGA,
        expert_share=found.number('expert_share', 0.0))


def _limits(found: fields.Fields) -> routing_config.CallerLimits:
    return routing_config.CallerLimits(
        max_header_bytes=found.whole('max_header_bytes', 16_384),
        max_body_bytes=found.whole('max_body_bytes', 4_194_304),
        header_timeout_s=found.number('header_timeout_ms', 3_000.0) / _MS_PER_S,
        idle_timeout_s=found.number('idle_timeout_ms', 15_000.0) / _MS_PER_S)


def _workspaces(
        document: fields.Fields) -> dict[str, routing_config.KeyWorkspace] | None:
    if not document.has('tenants'):
        return None
    workspaces = {}
    for tenant in document.each('tenants'):
        priority = (tenant.whole('priority')
                    if tenant.has('priority') else None)
        workspace = routing_config.KeyWorkspace(tenant.text('name'), priority)
        for key in tenant.texts('api_keys'):
            workspaces[key] = workspace
    return workspaces
