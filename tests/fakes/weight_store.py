"""Stand-in for the weight store with a limited transfer rate.

`GET /maps/VERSION/RANK` responds after the time that the transfer of the
weights takes; transfers run one at a time. Faults: `down` responds with status
503; `delay_s` delays each response; `fail_ranks` is a list of ranks that get
status 503; `slow_others` is the only rank that gets responses until the fault
is cleared.
"""

import asyncio

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['WeightStoreHandler']

_BYTES_PER_S = 400e6
_MAP_BYTES = 4e6
_POLL_INTERVAL_S = 0.02


class WeightStoreHandler(serving.FakeHandler):
    """Transfers the weights to one rank at a time at the limited rate."""

    def __init__(self) -> None:
        super().__init__()
        self._transfer_lock = asyncio.Lock()
        self._counts = {'loads': 0, 'failed': 0}

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if request.path == '/counts':
            await response.send_json(200, self._counts)
            return
        rank = int(request.path.rpartition('/')[2])
        async with self._transfer_lock:
            await asyncio.sleep(_MAP_BYTES / _BYTES_PER_S)
        await self._delay(rank)
        if self.faults.get('down') or rank in self.faults.get('fail_ranks', []):
            self._counts['failed'] += 1
            await response.send(503, [], b'')
            return
        self._counts['loads'] += 1
        await response.send_json(200, {'bytes': _MAP_BYTES})

    async def _delay(self, rank: int) -> None:
        remaining_s = self.faults.get('delay_s', 0)
        while remaining_s > 0 and 'delay_s' in self.faults:
            await asyncio.sleep(_POLL_INTERVAL_S)
            remaining_s -= _POLL_INTERVAL_S
        while self.faults.get('slow_others', rank) != rank:
            await asyncio.sleep(_POLL_INTERVAL_S)


if __name__ == '__main__':
    serving.run(WeightStoreHandler())
