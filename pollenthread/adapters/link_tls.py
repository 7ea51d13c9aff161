"""TLS contexts for links.

Both ends of a link present a certificate that is signed by the configured
authority and names their host. Files that change are loaded again: new links
use them, open links are not affected.
"""

import asyncio
import dataclasses
import pathlib
import ssl
from collections.abc import Mapping
from typing import Any

from absl import logging

__all__ = ['LinkTlsFiles', 'LinkTls', 'certificate_names_host']

_FILE_CHECK_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True)
class LinkTlsFiles:
    """Paths of the PEM files.

    Attributes:
        certificate: this host's certificate.
        key: its private key.
        authority: the CA certificates by which peer certificates must be
            signed.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path

    def modification_times(self) -> tuple[int, ...]:
        """Returns the modification time of each file, in nanoseconds."""
        paths = (self.certificate, self.key, self.authority)
        return tuple(path.stat().st_mtime_ns for path in paths)


class LinkTls:
    """TLS contexts for both ends of links, reloaded when the files change.

    Attributes:
        server_context: the context for accepted links.
        client_context: the context for links that this process opens.
        reload_count: how often changed files were loaded.
    """

    def __init__(self, *, files: LinkTlsFiles) -> None:
        self._files = files
        self.server_context = _make_context(ssl.PROTOCOL_TLS_SERVER)
        self.client_context = _make_context(ssl.PROTOCOL_TLS_CLIENT)
        self.reload_count = 0
        self._load()
        self._loaded_times = files.modification_times()

    def _load(self) -> None:
        for context in (self.server_context, self.client_context):
            context.load_cert_chain(self._files.certificate, self._files.key)
            context.load_verify_locations(self._files.authority)

    def reload_if_changed(self) -> bool:
        """Loads the files if they have changed.

        Returns:
            False if the files cannot be read or loaded, for example because
            the key does not match the certificate.
        """
        try:
            current_times = self._files.modification_times()
            if current_times == self._loaded_times:
                return True
            self._load()
        except (OSError, ssl.SSLError) as error:
            logging.log_every_n_seconds(
                logging.ERROR, 'cannot load link certificate error=%s', 60,
                error)
            return False
        self._loaded_times = current_times
        self.reload_count += 1
        logging.info('link certificate changed count=%d', self.reload_count)
        return True

    async def watch_files(self) -> None:
        """Reloads the files when they change, until cancelled."""
        while True:
            await asyncio.sleep(_FILE_CHECK_INTERVAL_S)
            self.reload_if_changed()


def _make_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Links connect to IP addresses. The hello message contains the host name,
    # which TcpLink compares with the certificate.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def certificate_names_host(certificate: Mapping[str, Any] | None,
                           host: str) -> bool:
    """Whether a peer certificate has a host as its DNS subject name."""
    if not certificate:
        return False
    names = certificate.get('subjectAltName', ())
    return ('DNS', host) in names
