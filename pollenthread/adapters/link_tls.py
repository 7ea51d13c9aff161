"""Keys and certificates of links.

Both ends of a link show a certificate that the authority has signed and that
names their host. Files that change are read again: new links use the new ones,
open links go on.
"""

import asyncio
import dataclasses
import pathlib
import ssl
from collections.abc import Mapping
from typing import Any

from absl import logging

__all__ = ['LinkTlsFiles', 'LinkTls', 'certificate_names_host']

_CHECK_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True)
class LinkTlsFiles:
    """Where the PEM files are.

    Attributes:
        certificate: this host's certificate.
        key: its private key.
        authority: certificates that must have signed the peers'.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path

    def modification_times(self) -> tuple[int, ...]:
        """Changes when a file does."""
        paths = (self.certificate, self.key, self.authority)
        return tuple(path.stat().st_mtime_ns for path in paths)


class LinkTls:
    """The contexts of both ends; follows the files."""

    def __init__(self, *, files: LinkTlsFiles) -> None:
        self._files = files
        self.server_context = _context(ssl.PROTOCOL_TLS_SERVER)
        self.client_context = _context(ssl.PROTOCOL_TLS_CLIENT)
        self.reload_count = 0
        self._load()
        self._stamp = files.modification_times()

    def _load(self) -> None:
        for context in (self.server_context, self.client_context):
            context.load_cert_chain(self._files.certificate, self._files.key)
            context.load_verify_locations(self._files.authority)

    def reload_if_changed(self) -> bool:
        """Reads files that have changed; False while they do not fit."""
        try:
            stamp = self._files.modification_times()
            if stamp == self._stamp:
                return True
            self._load()
        except (OSError, ssl.SSLError) as error:
            logging.log_every_n_seconds(logging.ERROR,
                                        'link certificate not usable error=%s',
                                        60, error)
            return False
        self._stamp = stamp
        self.reload_count += 1
        logging.info('link certificate changed count=%d', self.reload_count)
        return True

    async def watch_files(self) -> None:
        """Follows the files until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.reload_if_changed()


def _context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Hosts are reached by IP number; the greeting names the host, and it is
    # compared with the certificate.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def certificate_names_host(certificate: Mapping[str, Any] | None,
                           host: str) -> bool:
    """Whether a peer's certificate is for a host."""
    if not certificate:
        return False
    names = certificate.get('subjectAltName', ())
    return ('DNS', host) in names
