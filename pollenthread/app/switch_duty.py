"""The decider's part in map switches: holds the group's row and decides."""

import dataclasses
import json
import math
from collections.abc import Callable

from absl import logging

from pollenthread.core import switch, switch_decider
from pollenthread.ports import clock, table

__all__ = [
    'GroupRow', 'SwitchCounts', 'SwitchDuty', 'group_key', 'parse_row',
    'wanted_key'
]

LEAST_MARGIN_STEPS = 4
FIRST_LEAD_S = 0.25
MOST_LEAD_S = 2.0
_LEAD_RATIO = 2.0
_COLLECTING = switch_decider.Phase.COLLECTING
RESEND_S = 0.3
PREPARE_TIMEOUT_S = 60.0
ARM_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True)
class GroupRow:
    """What the table holds for a group.

    Attributes:
        fence: the fencing number of its decider.
        map_version: the map that a group which starts anew uses.
    """

    fence: int
    map_version: int


@dataclasses.dataclass
class SwitchCounts:
    """What the decider has done.

    Attributes:
        started: switches begun.
        committed: switches that took place.
        aborted: switches given up, without harm.
        last_ms: milliseconds from the start of the last commit to its decision.
    """

    started: int = 0
    committed: int = 0
    aborted: int = 0
    last_ms: float = 0.0


def group_key(group: str) -> str:
    """The key of a group's row."""
    return f'groups/{group}'


def wanted_key(group: str) -> str:
    """The key of the row that names the map which a group shall use."""
    return f'wanted-maps/{group}'


def parse_row(value: bytes) -> GroupRow:
    """Reads a group's row."""
    return GroupRow(**json.loads(value))


class SwitchDuty:
    """Runs the switches of one group while its fencing number is the highest.
    """

    def __init__(self, *, group: str, size: int,
                 table_service: table.TableService, time: clock.Clock,
                 send: Callable[[int, switch.Order], None]) -> None:
        self._group = group
        self._size = size
        self._table = table_service
        self._time = time
        self._send = send
        self._decider: switch_decider.Decider | None = None
        self._row = GroupRow(0, 0)
        self._row_version = table.ABSENT_VERSION
        self._phase_since = 0.0
        self._started_at = 0.0
        self._sent_at = 0.0
        self._lead_s = FIRST_LEAD_S
        self._seen_step = (0, 0.0)
        self.counts = SwitchCounts()

    @property
    def phase(self) -> str:
        """What the decider is about; empty while it does not hold the row."""
        return '' if self._decider is None else self._decider.phase.value

    @property
    def map_version(self) -> int:
        """The map decided last."""
        if self._decider is None:
            return 0
        return switch.map_version(self._decider.held, 1 << 62)

    async def take(self) -> bool:
        """Takes the group's row with the next fencing number."""
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
        logging.info('group %s taken fence=%d', self._group, row.fence)
        self._apply(
            switch_decider.take_over(fence=row.fence,
                                     size=self._size,
                                     named=row.map_version))
        return True

    def receive(self, reply: switch.Reply) -> None:
        """Takes a rank's answer."""
        if self._decider is None:
            return
        decider = self._decider
        match reply:
            case switch.Report():
                self._apply(switch_decider.on_report(decider, reply))
            case switch.Prepared():
                self._apply(
                    switch_decider.on_prepared(decider,
                                               reply,
                                               margin=self._margin(reply.step)))
            case switch.Armed():
                self._apply(switch_decider.on_armed(decider, reply))
            case switch.Noted():
                self._apply(switch_decider.on_noted(decider, reply))
            case switch.Join():
                self._apply(switch_decider.on_join(decider, reply))

    def tick(self) -> None:
        """Sends again what was not answered; gives up what has stalled."""
        decider = self._decider
        if decider is None:
            return
        now = self._time.monotonic()
        if now - self._phase_since > _timeout_s(decider.phase):
            logging.warning('group %s: switch given up phase=%s', self._group,
                            decider.phase)
            self._apply(switch_decider.give_up(decider))
        elif now - self._sent_at > RESEND_S:
            self._sent_at = now
            for item in switch_decider.resend(decider):
                self._send(item.index, item.order)

    async def follow_wanted(self) -> None:
        """Records what was decided, then starts the switch that is wanted."""
        if self._decider is None:
            return
        await self._record()
        read = await self._table.get(wanted_key(self._group))
        row = read.unwrap_or(None)
        if row is None or self._decider is None:
            return
        target = int(json.loads(row.value)['map_version'])
        self._abandon_unwanted(target)
        if self._decider.phase is not switch_decider.Phase.IDLE:
            return
        if target == self.map_version or not await self._still_holds():
            return
        if self._decider is not None:
            self._started_at = self._time.monotonic()
            self.counts.started += 1
            self._apply(switch_decider.start(self._decider, target))

    def _abandon_unwanted(self, target: int) -> None:
        """Gives up a switch that prepares a map which is no longer wanted."""
        decider = self._decider
        if (decider is not None and decider.change is not None and
                decider.phase is switch_decider.Phase.PREPARING and
                decider.change.target != target):
            self._apply(switch_decider.give_up(decider))

    async def _record(self) -> None:
        """Writes the decided map to the group's row; a lost row ends the duty.
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
        await self._still_holds()

    async def _still_holds(self) -> bool:
        """Reads the row again; a greater fencing number ends the duty."""
        read = await self._table.get(group_key(self._group))
        found = read.unwrap_or(None)
        if found is None:
            return False
        fence = parse_row(found.value).fence
        if fence > self._row.fence:
            logging.info('group %s: another decider fence=%d', self._group,
                         fence)
            self._decider = None
            return False
        self._row_version = found.version
        return True

    def _apply(self, after: switch_decider.DeciderResult) -> None:
        before = self._decider
        self._decider = after.decider
        now = self._time.monotonic()
        if before is not None and before.phase is _COLLECTING:
            self._seen_step = (after.decider.step, now)
        if before is None or before.phase is not after.decider.phase:
            self._count(after.decider, now)
            self._phase_since = self._sent_at = now
        for item in after.sends:
            self._send(item.index, item.order)

    def _margin(self, step: int) -> int:
        """Steps that the group makes while its ranks arm and hear the decision.

        The rate is that since the last switch, the time twice what the last
        arming took.
        """
        now = self._time.monotonic()
        last_step, last_s = self._seen_step
        rate = (step - last_step) / (now - last_s) if step > last_step else 0.0
        return max(LEAST_MARGIN_STEPS, math.ceil(rate * self._lead_s))

    def _learn_lead(self, decider: switch_decider.Decider, now: float) -> None:
        """Remembers how long arming took, and where the group was."""
        self._lead_s = min(MOST_LEAD_S, _LEAD_RATIO * (now - self._phase_since))
        self._seen_step = (decider.step, now)

    def _count(self, decider: switch_decider.Decider, now: float) -> None:
        if decider.phase is not switch_decider.Phase.DECIDED:
            return
        if decider.commit:
            self._learn_lead(decider, now)
            self.counts.committed += 1
            self.counts.last_ms = 1e3 * (now - self._started_at)
        else:
            self.counts.aborted += 1
        logging.info('group %s: switch %s map=%d', self._group,
                     'committed' if decider.commit else 'aborted',
                     self.map_version)


def _encode(row: GroupRow) -> bytes:
    return json.dumps(dataclasses.asdict(row)).encode()


def _timeout_s(phase: switch_decider.Phase) -> float:
    if phase is switch_decider.Phase.PREPARING:
        return PREPARE_TIMEOUT_S
    if phase is switch_decider.Phase.ARMING:
        return ARM_TIMEOUT_S
    return float('inf')
