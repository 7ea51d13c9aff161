"""The agent beside a model server on the prepared platform."""

import asyncio

from pollenthread.adapters import http_client, json_log
from pollenthread.core import log_events
from pollenthread.platform import names, process_settings
from pollenthread.roles import process

__all__ = ['run']


async def run() -> None:
    """Serves until SIGTERM."""
    settings = process_settings.load()
    log = json_log.JsonLog(host=settings.host)
    stop = process.StopSignal()
    async with http_client.HttpClient() as client:
        log.write(log_events.LogEvent.STARTED, address=settings.engine_address)
        n = 0
        while not stop.planned.is_set():
            await asyncio.sleep(0.25)
            try:
                out = {}
                for path in (names.Path.REPORT, names.Path.EXPERT_COUNTS,
                             names.Path.EXPERT_COUNTS + '?lists=1'):
                    async with client.request(settings.engine_address, 'GET',
                                              path) as e:
                        out[path] = (await e.read_all()).decode()[:1500]
                n += 1
                log.write(log_events.LogEvent.MAP_PLANNED,
                          **{k: v for k, v in out.items()} if n % 20 == 1 else
                          {'r': out[names.Path.REPORT]})
            except OSError as error:
                log.write(log_events.LogEvent.ORDER_FAILED, e=repr(error))
