"""Applies versions of the configuration to the serving state.

The decoder comes from the platform's adapter. A document that cannot be decoded
is counted and logged, and the previous version stays in effect.

Documents are offered by the store and by peers and applied one after the other,
since a large one takes some time. One that is replaced by a later offer before
its turn is left out.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence
from typing import Self

import result

from pollenthread.app import (document_history, serving_state, store_listeners)
from pollenthread.core import (document_patch, log_events, peer_messages,
                               routing_config, store_version)
from pollenthread.ports import clock, config_decoder, event_log, row_store

__all__ = ['ConfigListener']


@dataclasses.dataclass(frozen=True, eq=False, slots=True, kw_only=True)
class _OfferedConfig:
    """A document that may have to be applied.

    Attributes:
        document: the encoded configuration.
        row_version: the store's version of the document's row.
        source: where it came from.
        version: its version; `EMPTY_VERSION` if that is not known yet.
        patches: those that led to it, if it came from a peer.
    """

    document: bytes
    row_version: store_version.StoreVersion
    source: str
    version: int = document_patch.EMPTY_VERSION
    patches: Sequence[document_patch.DocumentPatch] = ()

    def replaces(self, other: Self) -> bool:
        """Whether another document need not be applied before this one."""
        return (other.source == self.source and
                other.row_version.era == self.row_version.era and
                other.row_version <= self.row_version)


class ConfigListener(store_listeners.OutageListener):
    """Applies new versions of the configuration; ignores older ones.

    Attributes:
        key: the key of the configuration's row.
        history: the current configuration document, and patches to it.
        row_version: the store's version of that document's row.
        applied_callbacks: functions called with each new configuration.
    """

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, table: str, key: str,
                 decoder: config_decoder.ConfigDecoder) -> None:
        super().__init__(state=state, time=time, log=log, table=table)
        self.key = key
        self._decoder = decoder
        self.history = document_history.DocumentHistory()
        self.row_version = store_version.START
        self._offers: list[_OfferedConfig] = []
        self._has_offers = asyncio.Event()
        self._needs_whole = False
        self._services: document_patch.DocumentPatch | None = None
        self.applied_callbacks: list[Callable[[routing_config.RoutingConfig],
                                              None]] = []

    @property
    def version(self) -> int:
        """The version of the current configuration; 0 before the first."""
        return self._state.config.version if self._state.config else 0

    @property
    def offered_version(self) -> int:
        """The newest version that is applied or about to be; 0 for none."""
        return max((self.version, *(o.version for o in self._offers)))

    @property
    def patched_version(self) -> int:
        """The version that patches of peers may apply to; 0 for none."""
        return 0 if self._needs_whole else self.offered_version

    @property
    def known_version(self) -> store_version.StoreVersion:
        return self.row_version

    def patches_for(
        self, known_version: int, form: peer_messages.ConfigForm
    ) -> tuple[document_patch.DocumentPatch, ...]:
        """Returns the patches for a peer.

        Args:
            known_version: the version that the peer knows; 0 for none.
            form: how it wants the configuration.
        """
        if known_version >= self.version:
            return ()
        if form is peer_messages.ConfigForm.SERVICES:
            return (self._services_patch(),)
        return tuple(self.history.patches_after(known_version))

    def _services_patch(self) -> document_patch.DocumentPatch:
        if self._services is None or self._services.version != self.version:
            self._services = document_patch.make_patch(
                b'',
                self._decoder.extract_services(self.history.document),
                base=document_patch.EMPTY_VERSION,
                version=self.version)
        return self._services

    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
        self.on_changes(rows)

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        for row in rows:
            if row.key == self.key and row.value is not None:
                self.offer_document(row.value, row.version, source='store')

    # Offers.

    def offer_document(self, document: bytes,
                       row_version: store_version.StoreVersion, *,
                       source: str) -> None:
        """Offers a whole document.

        Args:
            document: the encoded configuration.
            row_version: the store's version of the document's row.
            source: where it came from, for the log.
        """
        known = (self.history.document,
                 *(offer.document for offer in self._offers))
        if document not in known:
            self._offer(
                _OfferedConfig(document=document,
                               row_version=row_version,
                               source=source))

    def offer_patches(self, patches: Sequence[document_patch.DocumentPatch],
                      row_version: store_version.StoreVersion) -> None:
        """Offers the result of a peer's patches.

        If they do not fit, the whole document is requested next time.

        Args:
            patches: each applies to the result of the one before it, the first
                one to `patched_version` or to the empty document.
            row_version: the store's version of the resulting document's row.
        """
        if not patches or patches[-1].version <= self.offered_version:
            return
        try:
            document = self._find_document(patches[0].base)
            for patch in patches:
                document = patch.apply(document)
        except document_patch.PatchError as error:
            self._needs_whole = True
            self._log.write(log_events.LogEvent.CONFIG_PATCH_REJECTED,
                            base=patches[0].base,
                            version=patches[-1].version,
                            reason=str(error))
            return
        self._needs_whole = False
        self._offer(
            _OfferedConfig(document=document,
                           row_version=row_version,
                           source='peer',
                           version=patches[-1].version,
                           patches=tuple(patches)))

    def _find_document(self, version: int) -> bytes:
        """Returns the document of a version.

        Raises:
            document_patch.PatchError: it is not known.
        """
        if version == document_patch.EMPTY_VERSION:
            return b''
        if version == self.history.version:
            return self.history.document
        for offer in self._offers:
            if offer.version == version:
                return offer.document
        raise document_patch.PatchError(f'version {version} is not known')

    def _offer(self, offered: _OfferedConfig) -> None:
        self._offers = [
            offer for offer in self._offers if not offered.replaces(offer)
        ]
        self._offers.append(offered)
        self._has_offers.set()

    # Application.

    async def run(self) -> None:
        """Applies what is offered, until cancelled."""
        while True:
            await self._has_offers.wait()
            self._has_offers.clear()
            while self._offers:
                offered = self._offers[0]
                await self._apply(offered)
                if offered in self._offers:
                    self._offers.remove(offered)

    async def _apply(self, offered: _OfferedConfig) -> None:
        """Applies a document if its version is higher than the current one.

        The operator numbers the configurations, so that holds for a store that
        has come back from a copy too: an older one in it is written again.
        """
        started_at = self._clock.monotonic()
        decoded = await self._decoder.decode(offered.document)
        decode_s = round(self._clock.monotonic() - started_at, 4)
        if isinstance(decoded, result.Err):
            self.rejected_count += 1
            self._log.write(log_events.LogEvent.CONFIG_REJECTED,
                            source=offered.source,
                            reason=decoded.err_value)
            return
        config = decoded.ok_value
        current = self._state.config
        if current is not None and config.version <= current.version:
            self._log.write(log_events.LogEvent.CONFIG_OUTDATED,
                            important=False,
                            version=config.version,
                            current=current.version,
                            source=offered.source)
            return
        self._state.config = config
        self.history.record(offered.document, config.version, offered.patches)
        self.row_version = offered.row_version
        for callback in self.applied_callbacks:
            callback(config)
        self._log.write(log_events.LogEvent.CONFIG_APPLIED,
                        version=config.version,
                        before=current.version if current else None,
                        source=offered.source,
                        bytes=len(offered.document),
                        decode_s=decode_s)
