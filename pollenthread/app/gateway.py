"""Serves one request: claim, attempts, and the answer back to the caller."""

import abc
import asyncio
import dataclasses
import random

import result

from pollenthread.app import (chooser as chooser_module, claim_keeper, pool as
                              pool_module)
from pollenthread.core import (account, claims, errors, ids, messages, retries,
                               pace as pace_module, targets)
from pollenthread.ports import clock, link as link_port

__all__ = ['Call', 'Gateway', 'Report', 'Sink']

_EVENT_WINDOW = 1024
_BYTE_WINDOW = 256 * 1024
_RELINK_TIMEOUT_S = 3.0
_MIN_DUE_S = 1e-3


@dataclasses.dataclass(frozen=True)
class Call:
    """One accepted request.

    Attributes:
        request_id: the request's id.
        workspace: the workspace's name.
        work_class: the class with its targets.
        key: the idempotency key, or empty.
        kind: 'engine' or 'service'.
        name: the model's or service's name.
        deadline: monotonic seconds.
        stream: whether the answer is a stream of events.
        method: the method for the upstream.
        path: path and query for the upstream.
        headers: headers for the upstream.
        body: the whole body.
    """

    request_id: str
    workspace: str
    work_class: targets.WorkClass
    key: str
    kind: str
    name: str
    deadline: float
    stream: bool
    method: str
    path: str
    headers: tuple[messages.Header, ...]
    body: bytes

    @property
    def tally_key(self) -> account.TallyKey:
        """What the request counts to."""
        return account.TallyKey(self.workspace, self.work_class.name)


@dataclasses.dataclass
class Report:
    """How a request went.

    Attributes:
        attempts: attempts that were handed to agents.
        failure: why there is no whole answer, or None.
        repeat: whether the answer is a kept outcome.
        started_at: monotonic seconds at which the request came.
        pace: when the parts of the answer came.
    """

    attempts: int = 0
    failure: errors.Failure | None = None
    repeat: bool = False
    started_at: float = 0.0
    pace: pace_module.Pace = dataclasses.field(default_factory=pace_module.Pace)


class Sink(abc.ABC):
    """Where an answer goes."""

    @abc.abstractmethod
    async def head(self, status: int, headers: tuple[messages.Header, ...],
                   attempts: int) -> None:
        """Takes the head of the answer."""

    @abc.abstractmethod
    async def data(self, data: bytes) -> None:
        """Takes a part; waits while the caller is slow."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Takes the end marker."""


class Gateway:
    """Serves requests through the pool of upstreams."""

    def __init__(self, *, pool: pool_module.Pool,
                 keeper: claim_keeper.ClaimKeeper, time: clock.Clock,
                 draw: random.Random) -> None:
        self._pool = pool
        self._keeper = keeper
        self._time = time
        self.chooser = chooser_module.Chooser(pool=pool, time=time, draw=draw)
        self._recordings: set[asyncio.Task[None]] = set()

    @property
    def recordings(self) -> int:
        """Outcomes that are still on their way to the table."""
        return len(self._recordings)

    async def serve(self, call: Call, sink: Sink, report: Report) -> None:
        """Serves one request; the report says how it went."""
        serving = _Serving(call=call,
                           sink=sink,
                           report=report,
                           need=_need(call, self._time.monotonic()))
        try:
            async with asyncio.timeout(call.deadline - self._time.monotonic()):
                await self._serve(serving)
        except TimeoutError:
            ran = errors.Ran.UNKNOWN if report.attempts else errors.Ran.NO
            report.failure = errors.failure(errors.Kind.DEADLINE_PASSED,
                                            ran=ran)

    async def _serve(self, serving: '_Serving') -> None:
        call = serving.call
        need = serving.need
        granted: claim_keeper.Granted | None = None
        problem: errors.Failure | None = None
        while True:
            chosen = self.chooser.choose(need)
            if isinstance(chosen, result.Err):
                problem = problem or chosen.err_value
                break
            upstream = chosen.ok_value
            attempt = serving.next_attempt()
            if not call.work_class.repeatable:
                decided = await self._claim(call, attempt, upstream, granted)
                if isinstance(decided, result.Err):
                    problem = decided.err_value
                    break
                if not isinstance(decided.ok_value, claim_keeper.Granted):
                    await self._answer_repeat(serving, decided.ok_value)
                    return
                granted = decided.ok_value
            problem = await self._attempt(serving, attempt, upstream, granted)
            if problem is None:
                return
            if not serving.may_retry(problem):
                break
            if not await self.chooser.pause_before_retry(need):
                break
        if granted is not None and problem.ran is errors.Ran.NO:
            await self._keeper.release(granted)
        serving.report.failure = problem

    async def _claim(
        self, call: Call, attempt: ids.AttemptId,
        upstream: pool_module.Upstream, granted: claim_keeper.Granted | None
    ) -> result.Result[claim_keeper.Decision, errors.Failure]:
        wanted = claims.Claim(attempt=str(attempt),
                              host=upstream.hello.host,
                              incarnation=upstream.hello.incarnation,
                              session=upstream.link.session,
                              digest=claim_keeper.request_digest(
                                  call.method, call.path, call.work_class.name,
                                  call.body))
        if granted is not None:
            return await self._keeper.move(granted, wanted)
        key = claim_keeper.row_key(call.workspace, call.key)
        return await self._keeper.acquire(key, wanted)

    async def _attempt(
            self, serving: '_Serving', attempt: ids.AttemptId,
            upstream: pool_module.Upstream,
            granted: claim_keeper.Granted | None) -> errors.Failure | None:
        """Makes one attempt; None when the answer is whole."""
        handed = self._hand_over(serving, attempt, upstream)
        if handed is None:
            failure = errors.failure(errors.Kind.LINK_LOST, ran=errors.Ran.NO)
            self.chooser.note_failure(serving.need, upstream, failure)
            return failure
        handed = await self._hedge(serving, handed)
        relay = _Relay(serving=serving, attempt=handed.attempt, pool=self._pool)
        try:
            failed = await relay.run(handed.upstream, handed.stream)
        except BaseException:
            relay.cancel()
            raise
        self._learn(serving, handed, relay, failed)
        if granted is not None and _has_ended(failed):
            self._record(granted, relay)
        return failed

    def _learn(self, serving: '_Serving', handed: '_Handed', relay: '_Relay',
               failed: errors.Failure | None) -> None:
        if failed is not None:
            self.chooser.note_failure(serving.need, handed.upstream, failed)
            return
        taken_s = self._time.monotonic() - handed.sent_at
        self.chooser.note_success(serving.need, handed.upstream,
                                  taken_s - relay.waited_s)

    def _hand_over(self, serving: '_Serving', attempt: ids.AttemptId,
                   upstream: pool_module.Upstream) -> '_Handed | None':
        """Sends an attempt to an agent; None when the link is lost."""
        begin = self._begin(serving, attempt, upstream)
        stream = upstream.open(begin.attempt)
        try:
            upstream.link.send(begin)
        except link_port.LinkLost:
            upstream.close(begin.attempt)
            return None
        upstream.note_sent()
        serving.report.attempts += 1
        return _Handed(attempt=begin.attempt,
                       upstream=upstream,
                       stream=stream,
                       sent_at=self._time.monotonic())

    async def _hedge(self, serving: '_Serving', first: '_Handed') -> '_Handed':
        """Waits for a part; makes a second attempt when there is none."""
        after_s = self.chooser.hedge_after_s(serving.need)
        if after_s is None:
            return first
        try:
            if await first.has_part_within(after_s):
                return first
            serving.need.failed_hosts.add(first.upstream.host)
            upstream = self.chooser.choose_hedge(serving.need)
            second = upstream and self._hand_over(
                serving, serving.next_attempt(), upstream)
        except BaseException:
            first.cancel()
            raise
        if not second:
            return first
        winner, loser = await _race(first, second)
        loser.cancel()
        if loser is first:
            first.upstream.note_answer(good=False)
        return winner

    def _begin(self, serving: '_Serving', attempt: ids.AttemptId,
               upstream: pool_module.Upstream) -> messages.Begin:
        call = serving.call
        need = serving.need
        now = self._time.monotonic()
        left_s = max(0.0, call.deadline - now)
        due_s = max(_MIN_DUE_S, need.due_at - now)
        return messages.Begin(attempt=str(attempt),
                              session=upstream.link.session,
                              workspace=call.workspace,
                              work_class=call.work_class.name,
                              importance=int(call.work_class.importance),
                              repeatable=call.work_class.repeatable,
                              key=call.key,
                              deadline_ms=int(left_s * 1000),
                              target_ms=int(due_s * 1000),
                              whole=need.whole,
                              between_tokens_ms=need.between_tokens_ms,
                              stream=call.stream,
                              window=_window(call),
                              method=call.method,
                              path=call.path,
                              headers=call.headers,
                              body=call.body)

    async def _answer_repeat(
            self, serving: '_Serving',
            decision: claim_keeper.Replay | claim_keeper.Attach) -> None:
        serving.report.repeat = True
        if isinstance(decision, claim_keeper.Replay):
            await serving.deliver_outcome(decision.outcome)
            return
        attempt = decision.claim.attempt
        relay = _Relay(serving=serving, attempt=attempt, pool=self._pool)
        stream = decision.upstream.open(attempt)
        try:
            decision.upstream.link.send(
                messages.Resume(attempt, 0, _window(serving.call)))
        except link_port.LinkLost:
            stream.put(None)
        failure = await relay.run(decision.upstream, stream)
        serving.report.failure = failure
        if _has_ended(failure):
            self._record(decision, relay)

    def _record(self, held: claim_keeper.Granted | claim_keeper.Attach,
                relay: '_Relay') -> None:
        """Keeps the outcome in the table without holding up the caller."""
        task = asyncio.create_task(self._record_and_confirm(held, relay))
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)

    async def _record_and_confirm(self, held: claim_keeper.Granted |
                                  claim_keeper.Attach, relay: '_Relay') -> None:
        pause_s = 0.1
        while not await self._keeper.record(held, relay.outcome):
            await self._time.sleep(pause_s)
            pause_s = min(pause_s * 2, 5.0)
        try:
            relay.upstream.link.send(messages.Confirm(held.claim.attempt))
        except link_port.LinkLost:
            pass


@dataclasses.dataclass
class _Serving:
    """One request on its way."""

    call: Call
    sink: Sink
    report: Report
    need: chooser_module.Need
    head_sent: bool = False
    last_attempt: int = 0

    def next_attempt(self) -> ids.AttemptId:
        """Names another attempt."""
        self.last_attempt += 1
        return ids.AttemptId(self.call.request_id, self.last_attempt)

    def may_retry(self, failure: errors.Failure) -> bool:
        """Whether another attempt is allowed after a failure."""
        retries_made = max(0, self.last_attempt - 1)
        if self.head_sent or retries_made >= self.call.work_class.retries:
            return False
        return retries.is_safe(self.call.work_class, failure.ran)

    async def deliver_head(self, head: messages.Head) -> None:
        """Passes the head on once."""
        if not self.head_sent:
            self.head_sent = True
            await self.sink.head(head.status, head.headers,
                                 self.report.attempts)

    async def deliver(self, data: bytes, count: int, now: float) -> None:
        """Passes a part on."""
        self.report.pace.observe(now - self.report.started_at, count)
        await self.sink.data(data)

    async def deliver_outcome(self, outcome: claims.Outcome) -> None:
        """Answers with a kept outcome."""
        self.head_sent = True
        await self.sink.head(outcome.status, outcome.headers,
                             self.report.attempts)
        await self.sink.data(outcome.body)
        await self.sink.end()


@dataclasses.dataclass(frozen=True)
class _Handed:
    """One attempt that an agent has."""

    attempt: str
    upstream: pool_module.Upstream
    stream: pool_module.AttemptStream
    sent_at: float

    async def has_part_within(self, timeout_s: float) -> bool:
        """Whether a part of the answer, or a failure, comes in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.stream.wait_for_part()
        except TimeoutError:
            return False
        return True

    async def has_answer(self) -> bool:
        """Waits for a part of the answer; False for a failure."""
        part = await self.stream.wait_for_part()
        return isinstance(part, (messages.Chunk, messages.End))

    def cancel(self) -> None:
        """Tells the agent that nobody waits."""
        self.upstream.close(self.attempt)
        try:
            self.upstream.link.send(messages.Cancel(self.attempt))
        except link_port.LinkLost:
            pass


async def _race(first: _Handed, second: _Handed) -> tuple[_Handed, _Handed]:
    """Waits for a part of either; the winner, and the loser."""
    tasks = {
        asyncio.create_task(first.has_answer()): (first, second),
        asyncio.create_task(second.has_answer()): (second, first)
    }
    try:
        waiting = set(tasks)
        while True:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task.result() or not waiting:
                    return tasks[task]
    except BaseException:
        first.cancel()
        second.cancel()
        raise
    finally:
        for task in tasks:
            task.cancel()


class _Relay:
    """Passes the answer of one attempt on, over more than one link if need be.
    """

    def __init__(self, *, serving: _Serving, attempt: str,
                 pool: pool_module.Pool) -> None:
        self._serving = serving
        self._attempt = attempt
        self._pool = pool
        self._offset = 0
        self._head: messages.Head | None = None
        self._kept: list[bytes] = []
        self._whole = False
        self.upstream: pool_module.Upstream

    @property
    def outcome(self) -> claims.Outcome | None:
        """The whole answer, for keeping; None when it is not whole."""
        if not self._whole or self._head is None:
            return None
        return claims.Outcome(status=self._head.status,
                              headers=self._head.headers,
                              body=b''.join(self._kept))

    @property
    def waited_s(self) -> float:
        """Seconds that the attempt waited for its turn at the agent."""
        return 0.0 if self._head is None else self._head.waited_ms / 1000

    async def run(self, upstream: pool_module.Upstream,
                  stream: pool_module.AttemptStream) -> errors.Failure | None:
        """Relays until the end marker; None when the answer is whole."""
        self.upstream = upstream
        while True:
            message = await stream.get()
            if message is None:
                resumed = await self._resume()
                if resumed is None:
                    return errors.failure(errors.Kind.LINK_LOST)
                stream = resumed
                continue
            done, failure = await self._take(message)
            if done:
                self.upstream.close(self._attempt)
                return failure

    async def _take(
            self,
            message: messages.Message) -> tuple[bool, errors.Failure | None]:
        """Handles a message; whether it was the last, and what went wrong."""
        match message:
            case messages.Head():
                self._head = message
                await self._serving.deliver_head(message)
            case messages.Chunk():
                if message.offset != self._offset:
                    return True, self._pool.misrouted(
                        self.upstream,
                        f'part {message.offset} came at {self._offset}')
                await self._deliver(message)
            case messages.End():
                if message.offset != self._offset:
                    return True, errors.failure(errors.Kind.UPSTREAM_TRUNCATED)
                self._whole = True
                await self._serving.sink.end()
                return True, None
            case messages.Fail():
                return True, errors.failure(message.kind,
                                            message.detail,
                                            ran=message.ran)
            case _:
                pass
        return False, None

    async def _deliver(self, chunk: messages.Chunk) -> None:
        now = asyncio.get_running_loop().time()
        self._offset += chunk.count
        if not self._serving.call.work_class.repeatable:
            self._kept.append(chunk.data)
        await self._serving.deliver(chunk.data, chunk.count, now)
        try:
            self.upstream.link.send(
                messages.Credit(self._attempt, self._offset,
                                _window(self._serving.call)))
        except link_port.LinkLost:
            pass

    async def _resume(self) -> pool_module.AttemptStream | None:
        """Asks the same incarnation for the rest over a new link."""
        hello = self.upstream.hello
        upstream = await self._pool.wait_for(hello.host, hello.incarnation,
                                             _RELINK_TIMEOUT_S)
        if upstream is None:
            return None
        self.upstream = upstream
        stream = upstream.open(self._attempt)
        try:
            upstream.link.send(
                messages.Resume(self._attempt, self._offset,
                                _window(self._serving.call)))
        except link_port.LinkLost:
            stream.put(None)
        return stream

    def cancel(self) -> None:
        """Tells the agent that nobody waits."""
        self.upstream.close(self._attempt)
        try:
            self.upstream.link.send(messages.Cancel(self._attempt))
        except link_port.LinkLost:
            pass


def _has_ended(failure: errors.Failure | None) -> bool:
    """Whether the agent has said how the attempt ended, run or not."""
    if failure is None:
        return True
    return (failure.kind is not errors.Kind.LINK_LOST and
            failure.ran is not errors.Ran.NO)


def _need(call: Call, now: float) -> chooser_module.Need:
    return chooser_module.Need(workspace=call.workspace,
                               work_class=call.work_class,
                               kind=call.kind,
                               name=call.name,
                               stream=call.stream,
                               body=call.body,
                               accepted_at=now,
                               deadline=call.deadline)


def _window(call: Call) -> int:
    return _EVENT_WINDOW if call.stream else _BYTE_WINDOW
