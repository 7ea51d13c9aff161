"""Configurations of which only the version and the size matter."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import result

from pollenthread.app import config_listeners
from pollenthread.core import routing_config
from pollenthread.ports import config_decoder

__all__ = ['VersionDecoder', 'applying']

_CONTENT_START = b'{'
_APPLY_S = 0.05


class VersionDecoder(config_decoder.ConfigDecoder):
    """Decodes a document that has its version before the first brace."""

    async def decode(
            self, document: bytes
    ) -> result.Result[routing_config.RoutingConfig, str]:
        return result.Ok(
            routing_config.RoutingConfig(version=int(
                document.partition(_CONTENT_START)[0]),
                                         routes_by_host={},
                                         services_by_name={},
                                         limits=routing_config.CallerLimits(),
                                         workspaces_by_api_key=None))

    def extract_services(self, document: bytes) -> bytes:
        return document.partition(_CONTENT_START)[0]


@contextlib.asynccontextmanager
async def applying(
        *listeners: config_listeners.ConfigListener) -> AsyncIterator[None]:
    """Runs listeners; they have applied what was offered when it ends."""
    tasks = [asyncio.create_task(listener.run()) for listener in listeners]
    yield
    await asyncio.sleep(_APPLY_S)
    for task in tasks:
        task.cancel()
