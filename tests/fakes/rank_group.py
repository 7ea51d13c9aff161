"""Stand-in for a rank group whose ranks run in lock-step on an expert map.

A step completes only after all ranks have entered it. Its duration is that of
the rank whose experts have the highest load. All ranks must use the same map in
a step; `/group` lists the steps in which they did not as violations.

`GET /ranks/I`, `PUT /ranks/I/state`, `POST /ranks/I/load` and
`POST /ranks/I/restart` access one rank, `GET /group` the whole group.
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
_STEP_DURATION_S = 0.002
_POLL_INTERVAL_S = 0.002


@dataclasses.dataclass
class _Rank:
    """One rank.

    Attributes:
        incarnation: the number of the run, incremented by each restart.
        step: the last step that the rank has entered.
        state: the encoded state that the agent has stored.
        version: the version of the map that the rank uses in `step`.
    """

    incarnation: int = 1
    step: int = 0
    state: bytes = b''
    version: int = 0

    @property
    def switch_state(self) -> switch.Rank | None:
        """The stored state with the current step; None if none is stored."""
        if not self.state:
            return None
        return dataclasses.replace(switch_codec.decode_rank(self.state),
                                   step=self.step)


class RankGroupHandler(serving.FakeHandler):
    """Runs a step whenever all ranks may enter it."""

    def __init__(self, *, size: int, weight_store: str) -> None:
        """Initializes the group.

        Args:
            size: the number of ranks.
            weight_store: the address of the weight store.
        """
        super().__init__()
        self._ranks = [_Rank() for _ in range(size)]
        self._weight_store = weight_store
        self._client = http_client.HttpClient()
        self._completed_step = 0
        self._violations: list[dict[str, Any]] = []
        self._stalled_s = 0.0
        self._first_used_at_s: dict[int, float] = {}
        self._expert_loads = [
            1 / (i + 1) for i in range(size * _EXPERTS_PER_RANK)
        ]
        self._step_duration_s_by_version: dict[int, float] = {}
        self._step_ended_at = time.monotonic()
        self._step_task: asyncio.Task[None] | None = None

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if self._step_task is None:
            self._step_task = asyncio.create_task(self._run())
        if request.path == '/group':
            await response.send_json(200, self._describe())
            return
        _, _, index, *action = request.path.split('/')
        rank = self._ranks[int(index)]
        document = json.loads(request.body or b'{}')
        if not action:
            await self._send_rank(rank, response)
        elif action == ['state']:
            await self._store_state(rank, document, response)
        elif action == ['load']:
            await self._load_map(int(index), document, response)
        elif action == ['restart']:
            self._restart(rank)
            await response.send_json(200, {})
        else:
            await response.send(404, [], b'')

    async def _send_rank(self, rank: _Rank,
                         response: http_server.HttpResponse) -> None:
        await response.send_json(
            200, {
                'incarnation': rank.incarnation,
                'step': rank.step,
                'state': base64.b64encode(rank.state).decode()
            })

    async def _store_state(self, rank: _Rank, document: dict[str, Any],
                           response: http_server.HttpResponse) -> None:
        state = base64.b64decode(document['state'])
        new_state = switch_codec.decode_rank(state)
        is_armed = (new_state.pending is not None and
                    new_state.stage is switch.Stage.ARMED)
        stored = rank.switch_state
        was_armed = (stored is not None and stored.stage is switch.Stage.ARMED)
        # The rank has already entered the step for which it would be armed.
        is_too_late = (is_armed and not was_armed and
                       new_state.pending is not None and
                       new_state.pending.step <= rank.step)
        if document['incarnation'] != rank.incarnation or is_too_late:
            await response.send_json(409, {})
            return
        rank.state = state
        await response.send_json(200, {})

    async def _load_map(self, index: int, document: dict[str, Any],
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
        """Resets a rank, which then enters the interrupted step again."""
        rank.incarnation += 1
        rank.state = b''
        rank.step = self._completed_step
        rank.version = 0

    async def _run(self) -> None:
        while True:
            step = self._completed_step + 1
            if not self._enter_step(step):
                await self._wait_to_enter(step)
            versions = {rank.version for rank in self._ranks}
            if len(versions) != 1:
                self._violations.append({
                    'step': step,
                    'versions': [rank.version for rank in self._ranks]
                })
            self._completed_step = step
            self._step_ended_at = time.monotonic()
            version = max(versions)
            if version not in self._first_used_at_s:
                self._first_used_at_s[version] = time.time()
            await asyncio.sleep(self._step_duration_s(version))

    async def _wait_to_enter(self, step: int) -> None:
        """Waits until all ranks have entered; counts the time as a stall."""
        started_at = time.monotonic()
        while not self._enter_step(step):
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._stalled_s += time.monotonic() - started_at

    def _enter_step(self, step: int) -> bool:
        """Enters all ranks that may enter; returns whether all have entered."""
        for rank in self._ranks:
            stored = rank.switch_state
            if rank.step >= step or stored is None or stored.held is None:
                continue
            if switch_rank.may_enter_next_step(stored):
                rank.step = step
                rank.version = switch.map_version(stored.held, step)
        return all(rank.step >= step for rank in self._ranks)

    def _step_duration_s(self, version: int) -> float:
        """Returns the duration of a step, which the most loaded rank sets."""
        if version not in self._step_duration_s_by_version:
            size = len(self._ranks)
            group = placement.GroupShape(
                len(self._expert_loads),
                (_EXPERTS_PER_RANK + _SPARE_SLOTS,) * size,
                tuple(f'host-{i}' for i in range(size)))
            layout = (placement.initial_layout(group) if version == 1 else
                      moves.optimize_layout(group, self._expert_loads))
            layer = expert_map.build_layer_map(layout, self._expert_loads)
            slowest = max(expert_map.loads_by_rank(layer, self._expert_loads))
            self._step_duration_s_by_version[
                version] = _STEP_DURATION_S * slowest
        return self._step_duration_s_by_version[version]

    def _describe(self) -> dict[str, Any]:
        states = [rank.switch_state for rank in self._ranks]
        return {
            'completed': self._completed_step,
            'waiting_s': time.monotonic() - self._step_ended_at,
            'violations': self._violations,
            'versions': [rank.version for rank in self._ranks],
            'incarnations': [rank.incarnation for rank in self._ranks],
            'stages': [
                None if item is None or item.pending is None else item.stage
                for item in states
            ],
            'in_force_at_s': self._first_used_at_s,
            'stalled_s': self._stalled_s,
            'step_s': self._step_duration_s_by_version
        }


if __name__ == '__main__':
    _parser = argparse.ArgumentParser(description=__doc__)
    _parser.add_argument('--size', type=int, default=4)
    _parser.add_argument('--weight-store', required=True)
    _args = _parser.parse_args()
    serving.run(
        RankGroupHandler(size=_args.size, weight_store=_args.weight_store))
