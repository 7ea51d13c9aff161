"""Issues the orders of the duties that this entry host holds.

Orders are read from the table, numbered, journalled and sent to the agents of
their hosts. Their results are recorded in the journal.
"""

import asyncio
import collections
import contextlib
import dataclasses

import result
from absl import logging

from pollenthread.app import (directory as directory_module, lease_manager,
                              order_journal, peer_links as peers_module,
                              upstream_pool as pool_module)
from pollenthread.core import messages, orders, signing
from pollenthread.ports import link as link_port, table

__all__ = ['OrderIssuer']

_RUN_INTERVAL_S = 1.0
_MAX_JOURNAL_ROWS = 64


class OrderIssuer:
    """Issues submitted orders and records their results.

    Attributes:
        ended_by_state: number of orders that ended here, by final state.
    """

    def __init__(self, *, leases: lease_manager.LeaseManager,
                 journal: order_journal.OrderJournal,
                 pool: pool_module.UpstreamPool, peers: peers_module.PeerLinks,
                 directory: directory_module.HostDirectory,
                 keys: signing.KeyRing) -> None:
        """Initializes an issuer.

        Args:
            leases: the leases of this host's duties; its acquire callback is
                set here.
            journal: the rows of orders in the table.
            pool: the agents that this host is linked to.
            peers: links to the other entry hosts.
            directory: the hosts of the deployment.
            keys: the keys that orders are signed with.
        """
        self._leases = leases
        self._journal = journal
        self._pool = pool
        self._directory = directory
        self._keys = keys
        self._journal_by_duty: dict[str, dict[str,
                                              order_journal.JournalEntry]] = {}
        self._replies = collections.deque[messages.OrderReply]()
        self._wake = asyncio.Event()
        self.ended_by_state = collections.Counter[orders.OrderState]()
        leases.on_acquire = self._drop_journal
        peers.subscribe(messages.DutyNews, self._on_duty_announcement)
        pool.subscribe(messages.OrderReply, self._on_reply)

    def wake(self) -> None:
        """Triggers the next iteration immediately."""
        self._wake.set()

    async def run(self) -> None:
        """Processes orders until cancelled."""
        while True:
            await self.run_once()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RUN_INTERVAL_S):
                    await self._wake.wait()
            self._wake.clear()

    async def run_once(self) -> None:
        """Records replies, accepts pending orders and sends the open ones."""
        await self._record_replies()
        for duty in set(orders.order_duties()).intersection(
                self._leases.held_duties()):
            if await self._load_journal(duty):
                await self._accept_pending(duty)
                await self._advance_open(duty)

    def _drop_journal(self, duty: str) -> None:
        self._journal_by_duty.pop(duty, None)

    def _on_duty_announcement(self, _: link_port.Link,
                              __: messages.DutyNews) -> None:
        self._wake.set()

    def _on_reply(self, _: link_port.Link, reply: messages.OrderReply) -> None:
        self._replies.append(reply)
        self._wake.set()

    async def _load_journal(self, duty: str) -> bool:
        """Reads the journal of a duty unless it is cached.

        Returns:
            Whether the journal is cached now.
        """
        if duty in self._journal_by_duty:
            return True
        found = await self._journal.read_entries(duty)
        if isinstance(found, result.Err):
            return False
        self._journal_by_duty[duty] = {
            entry.row.order.id: entry for entry in found.ok_value
        }
        return True

    async def _accept_pending(self, duty: str) -> None:
        """Numbers pending orders and moves them to the journal."""
        found = await self._journal.read_inbox(duty)
        if isinstance(found, result.Err):
            return
        for order, version in found.ok_value:
            incarnation = self._incarnation(order.host)
            held = self._leases.held_lease(duty)
            if held is None or not incarnation:
                continue
            entries = self._journal_by_duty.get(duty, {})
            removal = table.TableWrite(order_journal.inbox_key(duty, order.id),
                                       None, version)
            if order.id in entries:
                await self._leases.commit_if_held(duty, [removal])
                continue
            numbers = (entry.row.order.number for entry in entries.values())
            row = orders.new_journal_row(
                dataclasses.replace(order,
                                    number=max(numbers, default=0) + 1,
                                    fencing=held.lease.fencing,
                                    incarnation=incarnation))
            await self._write_row(duty, row, table.ABSENT_VERSION, [removal])

    def _incarnation(self, host: str) -> str:
        """Returns the incarnation of a host's agent.

        Without a link to the agent, requests one and returns an empty string.
        """
        upstream = self._pool.by_host.get(host)
        if upstream is None:
            self._directory.request_upstream_link(host)
            return ''
        return upstream.hello.incarnation

    async def _advance_open(self, duty: str) -> None:
        """Advances the open order with the lowest number of each host."""
        entries = self._journal_by_duty.get(duty, {})
        open_entries = sorted((entry for entry in entries.values()
                               if entry.row.state is orders.OrderState.ISSUED),
                              key=lambda entry: entry.row.order.number)
        hosts: set[str] = set()
        for entry in open_entries:
            if entry.row.order.host not in hosts:
                hosts.add(entry.row.order.host)
                await self._run_next_action(duty, entry)

    async def _run_next_action(self, duty: str,
                               entry: order_journal.JournalEntry) -> None:
        held = self._leases.held_lease(duty)
        if held is None:
            return
        fencing = held.lease.fencing
        row = entry.row
        action = orders.next_issuer_action(row,
                                           fencing=fencing,
                                           incarnation=self._incarnation(
                                               row.order.host))
        if action is orders.IssuerAction.CLOSE_UNKNOWN:
            await self._record_result(duty, entry,
                                      orders.OrderAnswer.OTHER_INCARNATION,
                                      None)
        elif action is orders.IssuerAction.REISSUE:
            row = orders.reissued_row(row, fencing=fencing)
            if await self._write_row(duty, row, entry.version):
                self._send(row.order)
        elif action is orders.IssuerAction.SEND:
            self._send(row.order)

    def _send(self, order: orders.Order) -> None:
        upstream = self._pool.by_host.get(order.host)
        if upstream is None:
            return
        entries = self._journal_by_duty.get(order.duty, {})
        settled = orders.settled_below_number(
            entry.row for entry in entries.values())
        order = dataclasses.replace(order, settled_below=settled)
        with contextlib.suppress(link_port.LinkClosedError):
            upstream.link.send(self._keys.sign(order))

    async def _record_replies(self) -> None:
        while self._replies:
            reply = self._replies.popleft()
            for duty, entries in list(self._journal_by_duty.items()):
                entry = entries.get(reply.id)
                if entry is not None:
                    await self._record_result(
                        duty, entry, orders.OrderAnswer(reply.answer),
                        orders.Result(reply.done, reply.detail))

    async def _record_result(self, duty: str, entry: order_journal.JournalEntry,
                             answer: orders.OrderAnswer,
                             outcome: orders.Result | None) -> None:
        """Records the result of an open order if the reply is final."""
        if entry.row.state is not orders.OrderState.ISSUED:
            return
        row = orders.closed_row(entry.row, answer, outcome)
        if row is None:
            if answer is not orders.OrderAnswer.RUNNING:
                logging.warning('order=%s answer=%s', entry.row.order.id,
                                answer)
            return
        if await self._write_row(duty, row, entry.version,
                                 self._prune_write(duty)):
            self.ended_by_state[row.state] += 1
            logging.info('order=%s state=%s', row.order.id, row.state)

    def _prune_write(self, duty: str) -> list[table.TableWrite]:
        """Returns the deletion of the oldest ended order beyond the limit."""
        entries = sorted(self._journal_by_duty.get(duty, {}).values(),
                         key=lambda entry: entry.row.order.number)
        ended = [
            entry for entry in entries[:max(0,
                                            len(entries) - _MAX_JOURNAL_ROWS)]
            if entry.row.state is not orders.OrderState.ISSUED
        ]
        return [
            table.TableWrite(order_journal.journal_key(duty, e.row.order.id),
                             None, e.version) for e in ended[:1]
        ]

    async def _write_row(
            self,
            duty: str,
            row: orders.JournalRow,
            version: int,
            other_writes: list[table.TableWrite] | None = None) -> bool:
        """Writes a journal row under the duty's lease.

        The cached journal is dropped whatever the outcome, because the table
        may contain changes that this host does not know.

        Returns:
            Whether the row was written and the journal read again.
        """
        write = table.TableWrite(order_journal.journal_key(duty, row.order.id),
                                 order_journal.encode_row(row), version)
        written = await self._leases.commit_if_held(
            duty, [write, *(other_writes or ())])
        self._journal_by_duty.pop(duty, None)
        return isinstance(written, result.Ok) and await self._load_journal(duty)
