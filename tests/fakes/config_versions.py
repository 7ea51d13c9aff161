"""Decodes configurations of which only the version and the size matter."""

import result

from pollenthread.core import routing_config
from pollenthread.ports import config_decoder

__all__ = ['VersionDecoder']

_CONTENT_START = b'{'


class VersionDecoder(config_decoder.ConfigDecoder):
    """Decodes a document that has its version before the first brace."""

    def decode(
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
