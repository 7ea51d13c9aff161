"""Interface to the format of the operator's configuration document."""

import abc

import result

from pollenthread.core import routing_config

__all__ = ['ConfigDecoder']


class ConfigDecoder(abc.ABC):
    """Decodes the versions of a configuration document."""

    @abc.abstractmethod
    async def decode(
            self, document: bytes
    ) -> result.Result[routing_config.RoutingConfig, str]:
        """Decodes a document; other tasks run meanwhile if it is large.

        Returns:
            The configuration, or a description of the first error.
        """

    @abc.abstractmethod
    def extract_services(self, document: bytes) -> bytes:
        """Returns a valid document with the version and the services only.

        Args:
            document: a valid document.
        """
