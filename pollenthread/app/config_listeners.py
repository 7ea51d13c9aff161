"""Applies versions of the configuration to the serving state.

The decoder comes from the platform's adapter. A document that cannot be decoded
is counted and logged, and the previous version stays in effect.
"""

from collections.abc import Callable, Sequence

import result

from pollenthread.app import (document_history, serving_state, store_listeners)
from pollenthread.core import (document_patch, log_events, peer_messages,
                               routing_config, store_version)
from pollenthread.ports import clock, config_decoder, event_log, row_store

__all__ = ['ConfigListener']


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
        self._needs_whole = False
        self._services: document_patch.DocumentPatch | None = None
        self.applied_callbacks: list[Callable[[routing_config.RoutingConfig],
                                              None]] = []

    @property
    def version(self) -> int:
        """The version of the current configuration; 0 before the first."""
        return self._state.config.version if self._state.config else 0

    @property
    def patched_version(self) -> int:
        """The version that patches of peers may apply to; 0 for none."""
        return 0 if self._needs_whole else self.history.version

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
                self.apply_document(row.value, row.version, source='store')

    def apply_patches(self, patches: Sequence[document_patch.DocumentPatch],
                      row_version: store_version.StoreVersion) -> None:
        """Applies patches of a peer.

        If they do not fit, the whole document is requested next time.

        Args:
            patches: each applies to the result of the one before it, the first
                one to `patched_version` or to the empty document.
            row_version: the store's version of the resulting document's row.
        """
        if not patches:
            return
        document = b'' if patches[0].is_whole else self.history.document
        try:
            if patches[0].base not in (0, self.history.version):
                raise document_patch.PatchError('it is of another version')
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
        self.apply_document(document,
                            row_version,
                            source='peer',
                            patches=patches)

    def apply_document(
        self,
        document: bytes,
        row_version: store_version.StoreVersion,
        *,
        source: str,
        patches: Sequence[document_patch.DocumentPatch] = ()) -> None:
        """Applies a document if its version is higher than the current one.

        The operator numbers the configurations, so that holds for a store that
        has come back from a copy too: an older one in it is written again.

        Args:
            document: the encoded configuration.
            row_version: the store's version of the document's row.
            source: where it came from, for the log.
            patches: those that led to it, if it came from a peer.
        """
        started_at = self._clock.monotonic()
        decoded = self._decoder.decode(document)
        decode_s = round(self._clock.monotonic() - started_at, 4)
        if isinstance(decoded, result.Err):
            self.rejected_count += 1
            self._log.write(log_events.LogEvent.CONFIG_REJECTED,
                            source=source,
                            reason=decoded.err_value)
            return
        config = decoded.ok_value
        current = self._state.config
        if current is not None and config.version <= current.version:
            self._log.write(log_events.LogEvent.CONFIG_OUTDATED,
                            important=False,
                            version=config.version,
                            current=current.version,
                            source=source)
            return
        self._state.config = config
        self.history.record(document, config.version, patches)
        self.row_version = row_version
        for callback in self.applied_callbacks:
            callback(config)
        self._log.write(log_events.LogEvent.CONFIG_APPLIED,
                        version=config.version,
                        before=current.version if current else None,
                        source=source,
                        bytes=len(document),
                        decode_s=decode_s)
