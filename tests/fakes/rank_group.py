"""Stand-in for a rank group whose ranks run in lock-step on an expert map.

A step ends for all ranks once each has entered it. Its time is that of the
rank with the most tokens on its experts. In every step all ranks must use the
same map: a step in which they do not is kept in `/group` as a violation.

For each rank: `GET /ranks/I`, `PUT /ranks/I/state`, `POST /ranks/I/load`,
`POST /ranks/I/restart`. `GET /group` tells about all.
"""

import argparse
import asyncio
import base64
import dataclasses
import json
import time
from typing import Any

from pollenthread.adapters import http_client, http_server
from pollenthread.app import switch_codec
from pollenthread.core import expert_map, moves, placement, switch, switch_rank
from tests.fakes import serving

__all__ = ['RankGroupHandler']

_EXPERTS_PER_RANK = 4
_SPARE_SLOTS = 1
_STEP_S = 0.002
_POLL_S = 0.002


@dataclasses.dataclass
class _Rank:
    """One rank.

    Attributes:
        incarnation: rises with each restart.
        step: the last step that it has entered.
        state: what the agent has stored.
        version: the map that it uses in its step.
    """

    incarnation: int = 1
    step: int = 0
    state: bytes = b''
    version: int = 0

    @property
    def known(self) -> switch.Rank | None:
        """The state with the engine's own step."""
        if not self.state:
            return None
        return dataclasses.replace(switch_codec.decode_rank(self.state),
                                   step=self.step)


class RankGroupHandler(serving.FakeHandler):
    """Makes steps while every rank may enter them."""

    def __init__(self, *, size: int, weight_store: str) -> None:
        super().__init__()
        self._ranks = [_Rank() for _ in range(size)]
        self._weight_store = weight_store
        self._client = http_client.HttpClient()
        self._completed = 0
        self._violations: list[dict[str, Any]] = []
        self._stalled_s = 0.0
        self._in_force: dict[int, float] = {}
        self._loads = [1 / (i + 1) for i in range(size * _EXPERTS_PER_RANK)]
        self._step_s_by_version: dict[int, float] = {}
        self._ended_at = time.monotonic()
        self._task: asyncio.Task[None] | None = None

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        if request.path == '/group':
            await response.send_json(200, self._describe())
            return
        _, _, index, *action = request.path.split('/')
        rank = self._ranks[int(index)]
        document = json.loads(request.body or b'{}')
        if not action:
            await self._show(rank, response)
        elif action == ['state']:
            await self._store(rank, document, response)
        elif action == ['load']:
            await self._load(int(index), document, response)
        elif action == ['restart']:
            self._restart(rank)
            await response.send_json(200, {})
        else:
            await response.send(404, [], b'')

    async def _show(self, rank: _Rank,
                    response: http_server.HttpResponse) -> None:
        await response.send_json(
            200, {
                'incarnation': rank.incarnation,
                'step': rank.step,
                'state': base64.b64encode(rank.state).decode()
            })

    async def _store(self, rank: _Rank, document: dict[str, Any],
                     response: http_server.HttpResponse) -> None:
        state = base64.b64decode(document['state'])
        new = switch_codec.decode_rank(state)
        is_armed = (new.pending is not None and new.stage is switch.Stage.ARMED)
        known = rank.known
        was_armed = known is not None and known.stage is switch.Stage.ARMED
        too_late = (is_armed and not was_armed and new.pending is not None and
                    new.pending.step <= rank.step)
        if document['incarnation'] != rank.incarnation or too_late:
            await response.send_json(409, {})
            return
        rank.state = state
        await response.send_json(200, {})

    async def _load(self, index: int, document: dict[str, Any],
                    response: http_server.HttpResponse) -> None:
        path = f'/maps/{document["version"]}/{index}'
        try:
            async with self._client.request(self._weight_store, 'GET',
                                            path) as exchange:
                await exchange.read_all()
                status = exchange.status
        except OSError:
            status = 502
        await response.send_json(status, {})

    def _restart(self, rank: _Rank) -> None:
        """The rank loses its memory; the step it was in is made again."""
        rank.incarnation += 1
        rank.state = b''
        rank.step = self._completed
        rank.version = 0

    async def _run(self) -> None:
        while True:
            step = self._completed + 1
            if not self._enter(step):
                await self._wait_to_enter(step)
            versions = {rank.version for rank in self._ranks}
            if len(versions) != 1:
                self._violations.append({
                    'step': step,
                    'versions': [rank.version for rank in self._ranks]
                })
            self._completed = step
            self._ended_at = time.monotonic()
            version = max(versions)
            if version not in self._in_force:
                self._in_force[version] = time.time()
            await asyncio.sleep(self._step_s(version))

    async def _wait_to_enter(self, step: int) -> None:
        """The group stalls until its last rank may enter."""
        began = time.monotonic()
        while not self._enter(step):
            await asyncio.sleep(_POLL_S)
        self._stalled_s += time.monotonic() - began

    def _enter(self, step: int) -> bool:
        """Lets each rank enter that may; whether all have."""
        for rank in self._ranks:
            known = rank.known
            if rank.step >= step or known is None or known.held is None:
                continue
            if switch_rank.may_enter_next_step(known):
                rank.step = step
                rank.version = switch.map_version(known.held, step)
        return all(rank.step >= step for rank in self._ranks)

    def _step_s(self, version: int) -> float:
        """The time of the slowest rank, from the tokens on its experts."""
        if version not in self._step_s_by_version:
            size = len(self._ranks)
            group = placement.GroupShape(
                len(self._loads), (_EXPERTS_PER_RANK + _SPARE_SLOTS,) * size,
                tuple(f'host-{i}' for i in range(size)))
            layout = (placement.initial_layout(group) if version == 1 else
                      moves.optimize_layout(group, self._loads))
            layer = expert_map.build_layer_map(layout, self._loads)
            slowest = max(expert_map.loads_by_rank(layer, self._loads))
            self._step_s_by_version[version] = _STEP_S * slowest
        return self._step_s_by_version[version]

    def _describe(self) -> dict[str, Any]:
        known = [rank.known for rank in self._ranks]
        return {
            'completed': self._completed,
            'waiting_s': time.monotonic() - self._ended_at,
            'violations': self._violations,
            'versions': [rank.version for rank in self._ranks],
            'incarnations': [rank.incarnation for rank in self._ranks],
            'stages': [
                None if item is None or item.pending is None else item.stage
                for item in known
            ],
            'in_force_at_s': self._in_force,
            'stalled_s': self._stalled_s,
            'step_s': self._step_s_by_version
        }


if __name__ == '__main__':
    _parser = argparse.ArgumentParser(description=__doc__)
    _parser.add_argument('--size', type=int, default=4)
    _parser.add_argument('--weight-store', required=True)
    _args = _parser.parse_args()
    serving.run(
        RankGroupHandler(size=_args.size, weight_store=_args.weight_store))
