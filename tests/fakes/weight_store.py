"""Stand-in for the weight store: rate-limited, and slow or down on order.

`GET /maps/VERSION/RANK` answers once the rank's share of the rate has carried
the weights. Faults: `down`, `delay_s`, `fail_ranks` (a
list of ranks), `slow_others` (a rank; all others wait until the fault ends).
"""

import asyncio

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['WeightStoreHandler']

_BYTES_PER_S = 400e6
_MAP_BYTES = 4e6
_POLL_S = 0.02


class WeightStoreHandler(serving.FakeHandler):
    """Serves one load after the other at the limited rate."""

    def __init__(self) -> None:
        super().__init__()
        self._turn = asyncio.Lock()
        self._counts = {'loads': 0, 'failed': 0}

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if request.path == '/counts':
            await response.send_json(200, self._counts)
            return
        rank = int(request.path.rpartition('/')[2])
        async with self._turn:
            await asyncio.sleep(_MAP_BYTES / _BYTES_PER_S)
        await self._delay(rank)
        if self.faults.get('down') or rank in self.faults.get('fail_ranks', []):
            self._counts['failed'] += 1
            await response.send(503, [], b'')
            return
        self._counts['loads'] += 1
        await response.send_json(200, {'bytes': _MAP_BYTES})

    async def _delay(self, rank: int) -> None:
        left_s = self.faults.get('delay_s', 0)
        while left_s > 0 and 'delay_s' in self.faults:
            await asyncio.sleep(_POLL_S)
            left_s -= _POLL_S
        while self.faults.get('slow_others', rank) != rank:
            await asyncio.sleep(_POLL_S)


if __name__ == '__main__':
    serving.run(WeightStoreHandler())
