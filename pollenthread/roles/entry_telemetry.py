"""Accounting, metrics, tracing and administration API of an entry host."""

import random
import time as wall_time
from collections.abc import Callable, Mapping
from typing import Any

from pollenthread.adapters import (admin_api, http_client, http_server, metrics,
                                   operator_auth, otlp, settings)
from pollenthread.app import (account_reader, account_writer, administration,
                              config_store, cost_store, tracer)
from pollenthread.app.background import supervision
from pollenthread.core import account
from pollenthread.ports import clock, table

__all__ = ['EntryTelemetry']

_FLUSH_TIMEOUT_S = 5.0


class EntryTelemetry:
    """Assembles accounting, metrics, tracing and the administration API.

    Attributes:
        request_counter: counts requests by their outcome.
        latencies: latency histograms of requests.
        tracer: records the spans of requests.
    """

    def __init__(self, *, config: settings.EntrySettings, incarnation: str,
                 client: http_client.HttpClient,
                 table_service: table.TableService, time: clock.Clock,
                 store: config_store.ConfigStore, status: Callable[[],
                                                                   dict[str,
                                                                        Any]],
                 gauges: Callable[[], Mapping[str, float]]) -> None:
        """Initializes the components; `run` starts their work.

        Args:
            config: settings of the entry host.
            incarnation: id of this start of the process.
            client: HTTP client that exports spans.
            table_service: stores the accounting rows and the costs.
            time: monotonic clock.
            store: versions of the configuration.
            status: returns the document of the status page.
            gauges: returns the gauges of the entry host by metric name.
        """
        self.request_counter = account.RequestCounter()
        self.latencies = metrics.RequestLatencyHistograms()
        self._entry_gauges = gauges
        self._exporter: otlp.SpanExporter | None = None
        if config.traces.collector is not None:
            self._exporter = otlp.SpanExporter(
                client=client,
                collector=config.traces.collector,
                host=config.host)
        self.tracer = tracer.Tracer(
            host=config.host,
            sample_per_thousand=config.traces.sample_per_thousand,
            rng=random.Random(),
            wall_offset_s=lambda: wall_time.time() - time.monotonic(),
            export=None if self._exporter is None else self._exporter.export)
        self._operators = [item.to_operator() for item in config.operators]
        self._account_writer = account_writer.AccountWriter(
            table_service=table_service,
            request_counter=self.request_counter,
            host=config.host,
            incarnation=incarnation,
            time=time,
            wall_clock=wall_time.time,
            interval_s=config.account_interval_s)
        self._administration = administration.Administration(
            store=store,
            accounts=account_reader.AccountReader(
                table_service=table_service,
                wall_clock=wall_time.time,
                interval_s=config.account_interval_s),
            costs=cost_store.CostStore(table_service=table_service),
            status=status,
            wall_clock=wall_time.time,
            find_trace=self.tracer.find_spans)

    @property
    def handlers_by_root(self) -> dict[str, http_server.RequestHandler]:
        """Handlers of the administration port by first path segment."""
        return {
            'v1':
                admin_api.AdminApi(admin=self._administration,
                                   operator_list=self._operators),
            'metrics':
                metrics.MetricsHandler(request_counter=self.request_counter,
                                       latencies=self.latencies,
                                       gauges=self._collect_gauges)
        }

    def require_operator(
            self,
            handler: http_server.RequestHandler) -> http_server.RequestHandler:
        """Restricts a handler to operators who may see every host."""
        return operator_auth.OperatorAuthHandler(handler=handler,
                                                 operator_list=self._operators)

    def _collect_gauges(self) -> dict[str, float]:
        return {
            'account_faults':
                sum(self._account_writer.error_counts.values()),
            'spans_dropped':
                0 if self._exporter is None else self._exporter.dropped_count,
            **self._entry_gauges()
        }

    def background_work(self) -> dict[str, supervision.BackgroundWork]:
        """Returns the work that writes counts and exports spans."""
        work: dict[str, supervision.BackgroundWork] = {
            'write account': self._account_writer.run
        }
        if self._exporter is not None:
            work['export spans'] = self._exporter.run
        return work

    async def flush(self) -> None:
        """Writes the remaining counts during a graceful shutdown."""
        await self._account_writer.finish(_FLUSH_TIMEOUT_S)
