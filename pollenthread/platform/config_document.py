"""Decodes the operator's JSON configuration document."""

import asyncio
import json

import result

from pollenthread.core import routing_config
from pollenthread.platform import field_reader, wire_names
from pollenthread.ports import config_decoder

__all__ = [
    'ConfigDocumentDecoder', 'ConfigDocumentError', 'decode', 'decode_limits',
    'decode_route', 'decode_service', 'try_decode'
]

_MS_PER_S = 1000.0
_BITS_PER_BYTE = 8
_MEGA = 1_000_000.0
# Decoded at a time, between which requests are served.
_ROUTES_PER_SLICE = 16


class ConfigDocumentError(ValueError):
    """The document is not a valid configuration."""


class ConfigDocumentDecoder(config_decoder.ConfigDecoder):
    """Decodes the versions of the operator's document.

    Routes that the version before had too are not decoded again.
    """

    def __init__(self) -> None:
        self._route_by_fingerprint: dict[bytes, routing_config.Route] = {}

    async def decode(
            self, document: bytes
    ) -> result.Result[routing_config.RoutingConfig, str]:
        try:
            content = field_reader.FieldReader(json.loads(document))
            return result.Ok(
                _make_config(content, await self._decode_routes(content)))
        except (ValueError, KeyError, RecursionError) as error:
            return result.Err(str(error))

    async def _decode_routes(
            self,
            content: field_reader.FieldReader) -> list[routing_config.Route]:
        known = self._route_by_fingerprint
        self._route_by_fingerprint = {}
        routes = []
        for number, reader in enumerate(_get_required_objects(
                content, 'routes')):
            if number % _ROUTES_PER_SLICE == 0:
                await asyncio.sleep(0)
            fingerprint = reader.fingerprint()
            route = known.get(fingerprint) or decode_route(reader)
            self._route_by_fingerprint[fingerprint] = route
            routes.append(route)
        return routes

    def extract_services(self, document: bytes) -> bytes:
        content = json.loads(document)
        return json.dumps({
            'version': content['version'],
            'routes': [],
            'services': content['services']
        }).encode()


def decode(data: bytes) -> routing_config.RoutingConfig:
    """Decodes a configuration document.

    Raises:
        ConfigDocumentError: the document is not JSON, or a field is missing
            or invalid.
    """
    try:
        content = field_reader.FieldReader(json.loads(data))
        return _make_config(
            content,
            list(map(decode_route, _get_required_objects(content, 'routes'))))
    except (ValueError, KeyError, RecursionError) as error:
        raise ConfigDocumentError(str(error)) from error


def try_decode(data: bytes) -> result.Result[routing_config.RoutingConfig, str]:
    """Decodes a configuration document without raising an exception.

    Returns:
        The configuration, or a description of the first error.
    """
    try:
        return result.Ok(decode(data))
    except ConfigDocumentError as error:
        return result.Err(str(error))


def _make_config(
        document: field_reader.FieldReader,
        routes: list[routing_config.Route]) -> routing_config.RoutingConfig:
    services = map(decode_service, _get_required_objects(document, 'services'))
    return routing_config.RoutingConfig(
        version=document.get_int('version', least=0),
        routes_by_host=_group_by_host(routes),
        services_by_name={service.name: service for service in services},
        limits=decode_limits(document.get_object('limits')),
        workspaces_by_api_key=_decode_workspaces(document))


def _get_required_objects(document: field_reader.FieldReader,
                          name: str) -> list[field_reader.FieldReader]:
    if not document.has(name):
        raise field_reader.FieldError(f'{name} is missing')
    return document.get_objects(name)


def decode_route(route: field_reader.FieldReader) -> routing_config.Route:
    """Decodes a route.

    Raises:
        FieldError: a field is missing or invalid.
        KeyError: there is no such kind of requests.
    """
    return routing_config.Route(
        name=route.get_str('name', ''),
        host=route.get_str('host'),
        path_prefix=route.get_str('path_prefix'),
        kind=wire_names.REQUEST_KIND_BY_NAME[route.get_str('kind')],
        timeout_s=route.get_float('timeout_ms') / _MS_PER_S,
        target_s=route.get_float('target_latency_ms', 1000.0) / _MS_PER_S,
        priority=route.get_int('priority', 0),
        shares=_decode_shares(route),
        max_attempts=max(1, route.get_int('max_attempts', 1)),
        is_public=route.get_bool('public', False),
        is_resumable=route.get_bool('can_resume', False),
        max_gap_s=route.get_float('gap_aim_ms', 0.0) / _MS_PER_S)


def _decode_shares(
        route: field_reader.FieldReader
) -> tuple[routing_config.ServiceShare, ...]:
    parts = route.get_objects('traffic_split')
    if not parts:
        single_share = routing_config.ServiceShare(route.get_str('service', ''),
                                                   1.0)
        return (single_share,)
    shares = (routing_config.ServiceShare(part.get_str('service'),
                                          part.get_float('weight', 1.0))
              for part in parts)
    return tuple(share for share in shares if share.weight > 0)


def _group_by_host(
    routes: list[routing_config.Route]
) -> dict[str, tuple[routing_config.Route, ...]]:
    routes_by_host: dict[str, list[routing_config.Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host:
            tuple(sorted(host_routes,
                         key=lambda route: -len(route.path_prefix)))
        for host, host_routes in routes_by_host.items()
    }


def decode_service(service: field_reader.FieldReader) -> routing_config.Service:
    """Decodes a service.

    Raises:
        FieldError: a field is missing or invalid.
    """
    engine = _decode_engine(
        service.get_object('engine')) if service.has('engine') else None
    return routing_config.Service(
        name=service.get_str('name'),
        health_path=service.get_str('health_path', '/'),
        max_connections=service.get_int('max_connections', 100),
        engine=engine,
        warm_up=_decode_warm_up(service))


def _decode_warm_up(
        service: field_reader.FieldReader) -> routing_config.WarmUp | None:
    duration_s = service.get_float('cold_start_s', 0.0)
    requests_per_s = service.get_float('cold_per_s', 0.0)
    if duration_s <= 0 or requests_per_s <= 0:
        return None
    return routing_config.WarmUp(duration_s, requests_per_s)


def _decode_engine(
        engine: field_reader.FieldReader) -> routing_config.EngineProfile:
    typical = engine.get_object('usual')
    return routing_config.EngineProfile(
        slots=engine.get_int('slots', 1),
        kv_cache_tokens=engine.get_int('kv_capacity_tokens', 0),
        base_step_s=engine.get_float('step_ms', 0.0) / _MS_PER_S,
        step_s_per_sequence=engine.get_float('per_seq_ms', 0.0) / _MS_PER_S,
        # In milliseconds per 1,000 tokens of context.
        step_s_per_context_token=engine.get_float('context_per_k', 0.0) / 1000 /
        _MS_PER_S,
        # Despite its name, the rate of prompt processing in tokens per second.
        prefill_tokens_per_s=engine.get_float('read_per_s', 0.0),
        # In milliseconds per million pairs of tokens.
        prefill_s_per_token_pair=engine.get_float('pairs_per_m', 0.0) / _MEGA /
        _MS_PER_S,
        prefill_chunk_tokens=engine.get_int('chunk', 0),
        steps_per_pass=engine.get_int('stride', 1),
        mean_prompt_tokens=typical.get_float('prompt', 500.0),
        mean_output_tokens=typical.get_float('answer', 100.0),
        link_bytes_per_s=engine.get_float('link_mbps', 0.0) * _MEGA /
        _BITS_PER_BYTE,
        sets=engine.get_int('sets', 0),
        experts=engine.get_int('experts', 0),
        expert_slots=engine.get_int('places', 0),
        spare_expert_slots=engine.get_int('spare', 0),
        expert_bytes=engine.get_float('expert_mb', 0.0) * _MEGA,
        expert_share=engine.get_float('expert_share', 0.0))


def decode_limits(
        limits: field_reader.FieldReader) -> routing_config.CallerLimits:
    """Decodes the limits of callers.

    Raises:
        FieldError: a field is invalid.
    """
    return routing_config.CallerLimits(
        max_header_bytes=limits.get_int('max_header_bytes', 16_384),
        max_body_bytes=limits.get_int('max_body_bytes', 4_194_304),
        header_timeout_s=limits.get_float('header_timeout_ms', 3_000.0) /
        _MS_PER_S,
        idle_timeout_s=limits.get_float('idle_timeout_ms', 15_000.0) /
        _MS_PER_S)


def _decode_workspaces(
    document: field_reader.FieldReader
) -> dict[str, routing_config.KeyWorkspace] | None:
    if not document.has('tenants'):
        return None
    workspaces = {}
    for tenant in document.get_objects('tenants'):
        priority = (tenant.get_int('priority')
                    if tenant.has('priority') else None)
        workspace = routing_config.KeyWorkspace(tenant.get_str('name'),
                                                priority)
        for key in tenant.get_strs('api_keys'):
            workspaces[key] = workspace
    return workspaces
