"""The agent beside a model server: its load, its rank, its orders."""

import asyncio
import dataclasses
import random

from pollenthread.app import choice_teller, group_view, order_taker, roster
from pollenthread.core import host_record, log_events, peer_messages
from pollenthread.ports import clock, event_log, peers, rank_server

__all__ = ['RankAgent']

_POLL_S = 0.14
_IDLE_POLL_S = 0.3
_SWITCHING_POLL_S = 0.05
_ALONE_POLL_S = 1.0
_LOAD_CHANGED_S = 0.25
_LOAD_SAME_S = 0.6
_STATE_SAME_S = 0.25
_MS_PER_S = 1000
_US_PER_S = 1_000_000
_PASS_SMOOTHING = 0.3
_MAX_PASS_S = 2.0
_STALLED_S = 0.5
_PASSES_LINE_S = 1.0


@dataclasses.dataclass
class _Told:
    """What was told last, and when."""

    news: object = None
    at: float = float('-inf')

    def is_due(self, news: object, now: float, *, same_s: float,
               changed_s: float) -> bool:
        """Whether to tell now; takes it as told if so.

        Args:
            news: what would be told.
            now: monotonic seconds.
            same_s: the pause when nothing has changed, in seconds.
            changed_s: the pause when something has, in seconds.
        """
        pause_s = same_s if news == self.news else changed_s
        if now - self.at < pause_s:
            return False
        self.news = news
        self.at = now
        return True


@dataclasses.dataclass(slots=True)
class _PassLine:
    """What the next line about passes will tell.

    Attributes:
        began_at: monotonic seconds at which its time begins.
        passes: passes that were begun.
        seconds: what they lasted together.
        longest_s: the longest; passes between two looks count as equal.
    """

    began_at: float
    passes: int = 0
    seconds: float = 0.0
    longest_s: float = 0.0

    def note(self, passes: int, pass_s: float) -> None:
        """Some passes of one length have begun."""
        self.passes += passes
        self.seconds += passes * pass_s
        self.longest_s = max(self.longest_s, pass_s)


class RankAgent:
    """Watches one server and tells the hosts that need to know."""

    def __init__(self, *, own: host_record.HostRecord, slots: int,
                 server: rank_server.RankServer, hosts: roster.Roster,
                 book: group_view.GroupBook, network: peers.PeerNetwork,
                 link_bytes_per_s: float, time: clock.Clock,
                 log: event_log.EventLog, rng: random.Random) -> None:
        """Makes an agent that watches nothing yet.

        Args:
            own: this agent's host.
            slots: requests that the server works on at once.
            server: the server.
            hosts: the hosts of the deployment.
            book: what is known of groups.
            network: reaches peers.
            link_bytes_per_s: the speed of this host's link.
            time: the clock.
            log: the log.
            rng: rounds choices.
        """
        self._own = own
        self.slots = slots
        self._server = server
        self._hosts = hosts
        self._book = book
        self._network = network
        self._clock = time
        self._stepped_at = time.monotonic()
        self._last_step = -1
        self._has_work = False
        self._pass_s = 0.0
        self._passes = _PassLine(began_at=time.monotonic())
        self._log = log
        self.experts = 0
        self._load_told = _Told()
        self._state_told = _Told()
        self._choices = choice_teller.ChoiceTeller(
            host=own.host,
            server=server,
            hosts=hosts,
            book=book,
            network=network,
            link_bytes_per_s=link_bytes_per_s,
            time=time,
            rng=rng)
        self._orders = order_taker.OrderTaker(host=own.host,
                                              server=server,
                                              take_report=self._take,
                                              hosts=hosts,
                                              network=network,
                                              log=log)
        network.set_rank_layout_provider(self._layout)
        network.set_rank_state_provider(self._state)

    async def run(self) -> None:
        """Watches and carries out orders until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._orders.run())
            tasks.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            await self._clock.sleep(await self._poll())

    async def _poll(self) -> float:
        try:
            report = await self._server.fetch_status()
        except rank_server.RankServerUnavailableError:
            return _POLL_S
        state = self._take(report)
        self._tell_entries(report)
        if not report.is_group_member:
            return _ALONE_POLL_S if not report.running else _POLL_S
        self._tell_group(state)
        await self._choices.tell(state, self.experts)
        if state.is_busy or state.armed_version or state.held_step:
            return _SWITCHING_POLL_S
        return _POLL_S if report.running else _IDLE_POLL_S

    def _take(self,
              report: rank_server.RankServerStatus) -> peer_messages.RankState:
        now = self._clock.monotonic()
        self._has_work = report.running > 0
        state = dataclasses.replace(report.state, host=self._own.host)
        passes = state.step - self._last_step
        if passes != 0 or not report.running:
            if 0 < passes < 100 and self._last_step >= 0:
                pass_s = min(_MAX_PASS_S, (now - self._stepped_at) / passes)
                self._pass_s += _PASS_SMOOTHING * (pass_s - self._pass_s)
                self._passes.note(passes, pass_s)
            self._last_step = state.step
            self._stepped_at = now
        self._book.take_own(state)
        self._tell_passes(report, now)
        return state

    def _tell_passes(self, report: rank_server.RankServerStatus,
                     now: float) -> None:
        """Logs the last second's passes; the ranks of a group share them."""
        window_s = now - self._passes.began_at
        if window_s < _PASSES_LINE_S:
            return
        line, self._passes = self._passes, _PassLine(began_at=now)
        if report.state.rank == 0 and line.passes:
            self._log.write(log_events.LogEvent.PASSES,
                            important=False,
                            group=report.state.group,
                            passes=line.passes,
                            mean_s=round(line.seconds / line.passes, 4),
                            longest_s=round(line.longest_s, 4),
                            running=report.running,
                            waiting=report.waiting,
                            map=report.state.map_version)

    def stalled_s(self) -> float:
        """How long the group has begun no pass though this rank has work."""
        if not self._has_work:
            return 0.0
        return self._clock.monotonic() - self._stepped_at

    def _tell_entries(self, report: rank_server.RankServerStatus) -> None:
        now = self._clock.monotonic()
        stalled_s = self.stalled_s()
        is_stalled = stalled_s > _STALLED_S
        is_open = report.state.is_open or not report.is_group_member
        if not self._load_told.is_due(
            (report.running, report.waiting, is_stalled, is_open),
                now,
                same_s=_LOAD_SAME_S,
                changed_s=_LOAD_CHANGED_S):
            return
        news = peer_messages.ServerLoad(address=self._own.engine_address,
                                        running=report.running,
                                        waiting=report.waiting,
                                        slots=self.slots,
                                        stalled_ms=int(stalled_s * _MS_PER_S),
                                        is_open=is_open,
                                        group=report.state.group,
                                        pass_us=int(self._pass_s * _US_PER_S),
                                        born_ms=report.state.born_ms)
        self._network.send_all(
            (record.peer_address
             for record in self._hosts.with_role(host_record.Role.ENTRY)), news)

    def _tell_group(self, state: peer_messages.RankState) -> None:
        """Tells the holder of the group's duty; all, while there is none."""
        now = self._clock.monotonic()
        news = dataclasses.replace(state, step=0)
        if not self._state_told.is_due(
                news, now, same_s=_STATE_SAME_S, changed_s=0.0):
            return
        holder = self._book.view(state.group).holder()
        record = self._hosts.records_by_host.get(holder or '')
        if record is not None:
            self._network.send(record.peer_address, state)
            return
        self._network.send_all(self._hosts.agents_beside(self._own.host), state)

    # What peers ask.

    async def _state(self) -> peer_messages.RankState | None:
        try:
            return self._take(await self._server.fetch_status())
        except rank_server.RankServerUnavailableError:
            return None

    async def _layout(self) -> peer_messages.RankLayout | None:
        try:
            return await self._server.fetch_layout()
        except rank_server.RankServerUnavailableError:
            return None
