"""Applies versions of the configuration to the serving state.

The decoder comes from the platform's adapter. A document that cannot be decoded
is counted and logged, and the previous version stays in effect.
"""

from collections.abc import Callable, Sequence

import result

from pollenthread.app import serving_state, store_listeners
from pollenthread.core import log_events, routing_config, store_version
from pollenthread.ports import clock, event_log, row_store

__all__ = ['ConfigListener']

ConfigDecoder = Callable[[bytes], result.Result[routing_config.RoutingConfig,
                                                str]]


class ConfigListener(store_listeners.OutageListener):
    """Applies new versions of the configuration; ignores older ones.

    Attributes:
        key: the key of the configuration's row.
        document: the current configuration document; None before the first.
        row_version: the store's version of that document's row.
        applied_callbacks: functions called with each new configuration.
    """

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, table: str, key: str,
                 decode: ConfigDecoder) -> None:
        super().__init__(state=state, time=time, log=log, table=table)
        self.key = key
        self._decode = decode
        self.document: bytes | None = None
        self.row_version = store_version.START
        self.applied_callbacks: list[Callable[[routing_config.RoutingConfig],
                                              None]] = []

    @property
    def version(self) -> int:
        """The version of the current configuration; 0 before the first."""
        return self._state.config.version if self._state.config else 0

    @property
    def known_version(self) -> store_version.StoreVersion:
        return self.row_version

    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
        self.on_changes(rows)

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        for row in rows:
            if row.key == self.key and row.value is not None:
                self.apply_document(row.value, row.version, source='store')

    def apply_document(self, document: bytes,
                       row_version: store_version.StoreVersion, *,
                       source: str) -> None:
        """Applies a document if its version is higher than the current one.

        The operator numbers the configurations, so that holds for a store that
        has come back from a copy too: an older one in it is written again.

        Args:
            document: the encoded configuration.
            row_version: the store's version of the document's row.
            source: where it came from, for the log.
        """
        started_at = self._clock.monotonic()
        decoded = self._decode(document)
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
        self.document = document
        self.row_version = row_version
        for callback in self.applied_callbacks:
            callback(config)
        self._log.write(log_events.LogEvent.CONFIG_APPLIED,
                        version=config.version,
                        before=current.version if current else None,
                        source=source,
                        bytes=len(document),
                        decode_s=decode_s)
