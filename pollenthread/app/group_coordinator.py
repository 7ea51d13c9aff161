"""Coordinates the map switches of one rank group.

The coordinator holds the group's row in the table, runs the two-phase switch
and records the committed map."""

import dataclasses
import json
import math
from collections.abc import Callable

from absl import logging

from pollenthread.core import switch, switch_coordinator
from pollenthread.ports import clock, table

__all__ = [
    'GroupRow', 'SwitchCounts', 'GroupCoordinator', 'group_key', 'parse_row',
    'wanted_key'
]

MIN_MARGIN_STEPS = 4
INITIAL_LEAD_S = 0.25
MAX_LEAD_S = 2.0
_LEAD_RATIO = 2.0
_COLLECTING = switch_coordinator.CoordinatorPhase.COLLECTING
RESEND_S = 0.3
PREPARE_TIMEOUT_S = 60.0
ARM_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True)
class GroupRow:
    """The table row of a group.

    Attributes:
        fence: the fencing token of its coordinator.
        map_version: the map that the group uses after a restart.
    """

    fence: int
    map_version: int


@dataclasses.dataclass
class SwitchCounts:
    """Counters of map switches.

    Attributes:
        started: switches that were started.
        committed: switches that were committed.
        aborted: switches that were aborted; the group keeps its map.
        last_ms: milliseconds from start to commit of the last committed switch.
    """

    started: int = 0
    committed: int = 0
    aborted: int = 0
    last_ms: float = 0.0


def group_key(group: str) -> str:
    """Returns the table key of a group's row."""
    return f'groups/{group}'


def wanted_key(group: str) -> str:
    """Returns the table key of a group's requested map."""
    return f'wanted-maps/{group}'


def parse_row(value: bytes) -> GroupRow:
    """Decodes a group's row."""
    return GroupRow(**json.loads(value))


class GroupCoordinator:
    """Runs the map switches of one group.

    It is active as long as its fencing token is the highest in the table.
    """

    def __init__(
            self, *, group: str, size: int, table_service: table.TableService,
            time: clock.Clock, send: Callable[[int, switch.CoordinatorMessage],
                                              None]) -> None:
        """Initializes a coordinator that does not hold the group's row.

        Args:
            group: the group's name.
            size: the number of ranks in the group.
            table_service: the table with the group's row.
            time: the clock.
            send: sends an order to the rank with the given number.
        """
        self._group = group
        self._size = size
        self._table = table_service
        self._clock = time
        self._send = send
        self._coordinator: switch_coordinator.Coordinator | None = None
        self._row = GroupRow(0, 0)
        self._row_version = table.ABSENT_VERSION
        self._phase_began_at = 0.0
        self._started_at = 0.0
        self._sent_at = 0.0
        self._lead_s = INITIAL_LEAD_S
        self._step_sample = (0, 0.0)
        self.counts = SwitchCounts()

    @property
    def phase(self) -> str:
        """The phase of the switch; empty while the row is not held."""
        return (''
                if self._coordinator is None else self._coordinator.phase.value)

    @property
    def acknowledged_ranks(self) -> frozenset[int]:
        """The ranks that have accepted the current request."""
        return (frozenset() if self._coordinator is None else
                self._coordinator.acknowledged_ranks)

    @property
    def map_version(self) -> int:
        """The map version committed last; 0 while the row is not held."""
        if self._coordinator is None:
            return 0
        return switch.map_version(self._coordinator.map_state, 1 << 62)

    async def acquire(self) -> bool:
        """Acquires the group's row with the next fencing token.

        Returns:
            Whether the row was written.
        """
        key = group_key(self._group)
        read = await self._table.get(key)
        if read.is_err():
            return False
        found = read.unwrap()
        row = GroupRow(0, 1) if found is None else parse_row(found.value)
        row = dataclasses.replace(row, fence=row.fence + 1)
        written = await self._table.put(key,
                                        _encode(row),
                                        expected_version=table.ABSENT_VERSION
                                        if found is None else found.version)
        if written.is_err():
            return False
        self._row, self._row_version = row, written.unwrap()
        logging.info('group %s: coordinator elected fence=%d', self._group,
                     row.fence)
        self._apply(
            switch_coordinator.start_coordinator(
                fence=row.fence,
                group_size=self._size,
                initial_version=row.map_version))
        return True

    def on_reply(self, reply: switch.RankMessage) -> None:
        """Processes a reply from a rank."""
        if self._coordinator is None:
            return
        coordinator = self._coordinator
        match reply:
            case switch.Report():
                self._apply(switch_coordinator.on_report(coordinator, reply))
            case switch.Prepared():
                self._apply(
                    switch_coordinator.on_prepared(coordinator,
                                                   reply,
                                                   margin_steps=self._margin(
                                                       reply.step)))
            case switch.Armed():
                self._apply(switch_coordinator.on_armed(coordinator, reply))
            case switch.Noted():
                self._apply(switch_coordinator.on_noted(coordinator, reply))
            case switch.Join():
                self._apply(switch_coordinator.on_join(coordinator, reply))

    def tick(self) -> None:
        """Resends unanswered orders and aborts a switch that timed out."""
        coordinator = self._coordinator
        if coordinator is None:
            return
        now = self._clock.monotonic()
        if now - self._phase_began_at > _timeout_s(coordinator.phase):
            logging.warning('group %s: switch timed out phase=%s', self._group,
                            coordinator.phase)
            self._apply(switch_coordinator.abort_undecided(coordinator))
        elif now - self._sent_at > RESEND_S:
            self._sent_at = now
            for item in switch_coordinator.unanswered_messages(coordinator):
                self._send(item.rank_index, item.message)

    async def pursue_wanted_map(self) -> None:
        """Records the committed map and starts a switch to the requested one.

        A switch that prepares another map is aborted.
        """
        if self._coordinator is None:
            return
        await self._record_map()
        read = await self._table.get(wanted_key(self._group))
        row = read.unwrap_or(None)
        if row is None or self._coordinator is None:
            return
        target = int(json.loads(row.value)['map_version'])
        self._abandon_unwanted(target)
        if (self._coordinator.phase
                is not switch_coordinator.CoordinatorPhase.IDLE):
            return
        if target == self.map_version or not await self._check_fence():
            return
        if self._coordinator is not None:
            self._started_at = self._clock.monotonic()
            self.counts.started += 1
            self._apply(
                switch_coordinator.start_switch(self._coordinator, target))

    def _abandon_unwanted(self, target: int) -> None:
        """Aborts a switch that prepares a map which is no longer requested."""
        coordinator = self._coordinator
        if (coordinator is not None and
                coordinator.current_change is not None and coordinator.phase
                is switch_coordinator.CoordinatorPhase.PREPARING and
                coordinator.current_change.target != target):
            self._apply(switch_coordinator.abort_undecided(coordinator))

    async def _record_map(self) -> None:
        """Writes the committed map to the group's row.

        If the write fails, a greater fencing token in the row ends the duty.
        """
        if self.map_version == self._row.map_version:
            return
        row = dataclasses.replace(self._row, map_version=self.map_version)
        written = await self._table.put(group_key(self._group),
                                        _encode(row),
                                        expected_version=self._row_version)
        if written.is_ok():
            self._row, self._row_version = row, written.unwrap()
            return
        await self._check_fence()

    async def _check_fence(self) -> bool:
        """Reads the row again; a greater fencing token ends the duty.

        Returns:
            Whether this coordinator still holds the row.
        """
        read = await self._table.get(group_key(self._group))
        found = read.unwrap_or(None)
        if found is None:
            return False
        fence = parse_row(found.value).fence
        if fence > self._row.fence:
            logging.info('group %s: replaced by another coordinator fence=%d',
                         self._group, fence)
            self._coordinator = None
            return False
        self._row_version = found.version
        return True

    def _apply(self, after: switch_coordinator.CoordinatorResult) -> None:
        before = self._coordinator
        self._coordinator = after.coordinator
        now = self._clock.monotonic()
        if before is not None and before.phase is _COLLECTING:
            self._step_sample = (after.coordinator.max_step, now)
        if before is None or before.phase is not after.coordinator.phase:
            self._update_counts(after.coordinator, now)
            self._phase_began_at = self._sent_at = now
        for item in after.messages:
            self._send(item.rank_index, item.message)

    def _margin(self, step: int) -> int:
        """Returns how many steps ahead a switch must be armed.

        This is the number of steps that the group makes while its ranks arm and
        receive the decision: the step rate since the last switch, times twice
        the duration of the last arming.
        """
        now = self._clock.monotonic()
        last_step, last_s = self._step_sample
        rate = (step - last_step) / (now - last_s) if step > last_step else 0.0
        return max(MIN_MARGIN_STEPS, math.ceil(rate * self._lead_s))

    def _update_lead(self, coordinator: switch_coordinator.Coordinator,
                     now: float) -> None:
        """Updates the expected arming time and the step-rate sample."""
        self._lead_s = min(MAX_LEAD_S,
                           _LEAD_RATIO * (now - self._phase_began_at))
        self._step_sample = (coordinator.max_step, now)

    def _update_counts(self, coordinator: switch_coordinator.Coordinator,
                       now: float) -> None:
        if coordinator.phase is not switch_coordinator.CoordinatorPhase.DECIDED:
            return
        if coordinator.is_commit:
            self._update_lead(coordinator, now)
            self.counts.committed += 1
            self.counts.last_ms = 1e3 * (now - self._started_at)
        else:
            self.counts.aborted += 1
        logging.info('group %s: switch %s map=%d', self._group,
                     'committed' if coordinator.is_commit else 'aborted',
                     self.map_version)


def _encode(row: GroupRow) -> bytes:
    return json.dumps(dataclasses.asdict(row)).encode()


def _timeout_s(phase: switch_coordinator.CoordinatorPhase) -> float:
    if phase is switch_coordinator.CoordinatorPhase.PREPARING:
        return PREPARE_TIMEOUT_S
    if phase is switch_coordinator.CoordinatorPhase.ARMING:
        return ARM_TIMEOUT_S
    return float('inf')
