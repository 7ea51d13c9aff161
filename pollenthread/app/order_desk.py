"""Gives orders to agents for the duties that this entry host holds."""

import asyncio
import collections
import contextlib
import dataclasses

import result
from absl import logging

from pollenthread.app import (directory as directory_module, lease_keeper,
                              order_journal, peers as peers_module, pool as
                              pool_module)
from pollenthread.core import messages, orders, signing
from pollenthread.ports import link as link_port, table

__all__ = ['OrderDesk']

_STEP_S = 1.0
_JOURNAL_KEPT = 64


class OrderDesk:
    """Takes orders from inboxes to their recorded ends."""

    def __init__(self, *, keeper: lease_keeper.LeaseKeeper,
                 journal: order_journal.OrderJournal, pool: pool_module.Pool,
                 peers: peers_module.Peers,
                 directory: directory_module.Directory,
                 keys: signing.KeyRing) -> None:
        self._keeper = keeper
        self._journal = journal
        self._pool = pool
        self._directory = directory
        self._keys = keys
        self._entries_by_duty: dict[str, dict[str, order_journal.Entry]] = {}
        self._replies = collections.deque[messages.OrderReply]()
        self._wake = asyncio.Event()
        self.ended_by_state = collections.Counter[orders.OrderState]()
        keeper.on_acquire = self._forget
        peers.subscribe(messages.DutyNews, self._on_news)
        pool.subscribe(messages.OrderReply, self._on_reply)

    def wake(self) -> None:
        """Looks at the inboxes soon."""
        self._wake.set()

    async def run(self) -> None:
        """Works on orders until cancelled."""
        while True:
            await self.step()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_STEP_S):
                    await self._wake.wait()
            self._wake.clear()

    async def step(self) -> None:
        """Records replies, takes orders up, and sends the open ones."""
        await self._record_replies()
        for duty in set(orders.all_duties()).intersection(
                self._keeper.duties()):
            if await self._load(duty):
                await self._take_up(duty)
                await self._advance(duty)

    def _forget(self, duty: str) -> None:
        self._entries_by_duty.pop(duty, None)

    def _on_news(self, _: link_port.Link, __: messages.DutyNews) -> None:
        self._wake.set()

    def _on_reply(self, _: link_port.Link, reply: messages.OrderReply) -> None:
        self._replies.append(reply)
        self._wake.set()

    async def _load(self, duty: str) -> bool:
        """Reads the journal once after the duty was acquired."""
        if duty in self._entries_by_duty:
            return True
        found = await self._journal.entries(duty)
        if isinstance(found, result.Err):
            return False
        self._entries_by_duty[duty] = {
            entry.row.order.id: entry for entry in found.ok_value
        }
        return True

    async def _take_up(self, duty: str) -> None:
        """Numbers new orders and moves them from the inbox to the journal."""
        found = await self._journal.inbox(duty)
        if isinstance(found, result.Err):
            return
        for order, version in found.ok_value:
            incarnation = self._incarnation(order.host)
            held = self._keeper.held(duty)
            if held is None or not incarnation:
                continue
            entries = self._entries_by_duty.get(duty, {})
            done = table.TableWrite(order_journal.inbox_key(duty, order.id),
                                    None, version)
            if order.id in entries:
                await self._keeper.commit_under(duty, [done])
                continue
            numbers = (entry.row.order.number for entry in entries.values())
            row = orders.journal(
                dataclasses.replace(order,
                                    number=max(numbers, default=0) + 1,
                                    fencing=held.lease.fencing,
                                    incarnation=incarnation))
            await self._store(duty, row, table.ABSENT_VERSION, [done])

    def _incarnation(self, host: str) -> str:
        """The agent's incarnation; asks for a link when there is none."""
        upstream = self._pool.by_host.get(host)
        if upstream is None:
            self._directory.want_upstream(host)
            return ''
        return upstream.hello.incarnation

    async def _advance(self, duty: str) -> None:
        """Does what comes next for the lowest open order of each host."""
        entries = self._entries_by_duty.get(duty, {})
        open_entries = sorted((entry for entry in entries.values()
                               if entry.row.state is orders.OrderState.ISSUED),
                              key=lambda entry: entry.row.order.number)
        hosts: set[str] = set()
        for entry in open_entries:
            if entry.row.order.host not in hosts:
                hosts.add(entry.row.order.host)
                await self._do_next(duty, entry)

    async def _do_next(self, duty: str, entry: order_journal.Entry) -> None:
        held = self._keeper.held(duty)
        if held is None:
            return
        fencing = held.lease.fencing
        row = entry.row
        step = orders.next_step(row,
                                fencing=fencing,
                                incarnation=self._incarnation(row.order.host))
        if step is orders.Step.CLOSE_UNKNOWN:
            await self._close(duty, entry, orders.Answer.OTHER_INCARNATION,
                              None)
        elif step is orders.Step.REISSUE:
            row = orders.reissue(row, fencing=fencing)
            if await self._store(duty, row, entry.version):
                self._send(row.order)
        elif step is orders.Step.SEND:
            self._send(row.order)

    def _send(self, order: orders.Order) -> None:
        upstream = self._pool.by_host.get(order.host)
        if upstream is None:
            return
        entries = self._entries_by_duty.get(order.duty, {})
        settled = orders.settled_below(entry.row for entry in entries.values())
        order = dataclasses.replace(order, settled_below=settled)
        with contextlib.suppress(link_port.LinkClosedError):
            upstream.link.send(self._keys.sign(order))

    async def _record_replies(self) -> None:
        while self._replies:
            reply = self._replies.popleft()
            for duty, entries in list(self._entries_by_duty.items()):
                entry = entries.get(reply.id)
                if entry is not None:
                    await self._close(duty, entry, orders.Answer(reply.answer),
                                      orders.Result(reply.done, reply.detail))

    async def _close(self, duty: str, entry: order_journal.Entry,
                     answer: orders.Answer,
                     ended: orders.Result | None) -> None:
        """Records an order's one result, if it has come to an end."""
        if entry.row.state is not orders.OrderState.ISSUED:
            return
        row = orders.close(entry.row, answer, ended)
        if row is None:
            if answer is not orders.Answer.RUNNING:
                logging.warning('order=%s answer=%s', entry.row.order.id,
                                answer)
            return
        if await self._store(duty, row, entry.version, self._prune(duty)):
            self.ended_by_state[row.state] += 1
            logging.info('order=%s state=%s', row.order.id, row.state)

    def _prune(self, duty: str) -> list[table.TableWrite]:
        """Deletes the oldest ended orders beyond what is kept."""
        entries = sorted(self._entries_by_duty.get(duty, {}).values(),
                         key=lambda entry: entry.row.order.number)
        ended = [
            entry for entry in entries[:max(0,
                                            len(entries) - _JOURNAL_KEPT)]
            if entry.row.state is not orders.OrderState.ISSUED
        ]
        return [
            table.TableWrite(order_journal.journal_key(duty, e.row.order.id),
                             None, e.version) for e in ended[:1]
        ]

    async def _store(self,
                     duty: str,
                     row: orders.JournalRow,
                     version: int,
                     more: list[table.TableWrite] | None = None) -> bool:
        """Writes a journal row under the duty's lease.

        Whatever the outcome, the journal is read again before it is used: the
        table may hold more than this host knows.
        """
        write = table.TableWrite(order_journal.journal_key(duty, row.order.id),
                                 order_journal.dump(row), version)
        done = await self._keeper.commit_under(duty, [write, *(more or ())])
        self._entries_by_duty.pop(duty, None)
        return isinstance(done, result.Ok) and await self._load(duty)
