"""Serves one request: claim, attempts, and the answer back to the caller."""

import abc
import asyncio
import dataclasses
import random
from collections.abc import Coroutine
from typing import Any

import result

from pollenthread.app import (chooser as chooser_module, claim_keeper, hedge,
                              pool as pool_module, relay as relay_module)
from pollenthread.core import (account, claims, errors, http_headers, ids,
                               messages, pace as pace_module, retries, spans,
                               targets)
from pollenthread.ports import clock, link as link_port

__all__ = ['Call', 'Gateway', 'Report', 'Sink']

_RECORD_PAUSE_MIN_S = 0.1
_RECORD_PAUSE_MAX_S = 5.0
_MIN_DUE_S = 1e-3
_HEDGE_PAUSE_S = 0.25


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
    headers: tuple[http_headers.Header, ...]
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
        hops: where its attempts went.
    """

    attempts: int = 0
    failure: errors.Failure | None = None
    repeat: bool = False
    started_at: float = 0.0
    pace: pace_module.Pace = dataclasses.field(default_factory=pace_module.Pace)
    hops: list[spans.Hop] = dataclasses.field(default_factory=list)


class Sink(abc.ABC):
    """Where an answer goes."""

    @abc.abstractmethod
    async def head(self, status: int, headers: tuple[http_headers.Header, ...],
                   attempts: int) -> None:
        """Takes the head of the answer."""

    @abc.abstractmethod
    async def data(self, data: bytes) -> None:
        """Takes a part; waits while the caller is slow."""

    def data_at_once(self, data: bytes) -> bool:
        """Takes a part if that needs no waiting; whether it did."""
        del data
        return False

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
        self._kept_by_attempt: dict[str, relay_module.KeptAnswer] = {}
        pool.subscribe(messages.Unconfirmed, self._adopt)

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
            report.failure = errors.failure(errors.Kind.DEADLINE_PASSED,
                                            ran=serving.ran)

    async def _serve(self, serving: '_Serving') -> None:
        call = serving.call
        granted: claim_keeper.Granted | None = None
        problem: errors.Failure | None = None
        while True:
            chosen = self.chooser.choose(serving.need)
            if isinstance(chosen, result.Err):
                problem = problem or chosen.err_value
                if granted is None and not call.work_class.repeatable:
                    problem = await self._look_up(serving, problem)
                break
            upstream = chosen.ok_value
            attempt = serving.next_attempt()
            if call.work_class.repeatable:
                problem = await self._attempt(serving, attempt, upstream)
            else:
                decided = await self._claim(serving, attempt, upstream, granted)
                granted = None
                if isinstance(decided, result.Err):
                    problem = decided.err_value
                    break
                decision = decided.ok_value
                if isinstance(decision, claim_keeper.Granted):
                    granted = decision
                problem = await self._carry_out(serving, attempt, upstream,
                                                decision)
            if problem is None:
                return
            if not serving.may_retry(problem):
                break
            if not await self.chooser.pause_before_retry(serving.need):
                break
        if granted is not None and problem.ran is errors.Ran.NO:
            if not await self._keeper.release(granted):
                serving.may_have_run = True
        if not serving.answered:
            serving.fail(problem)

    async def _look_up(self, serving: '_Serving',
                       problem: errors.Failure) -> errors.Failure:
        """Answers from a kept outcome when no upstream is there."""
        call = serving.call
        found = await self._keeper.look_up(
            claim_keeper.row_key(call.workspace, call.key), _digest(call))
        if isinstance(found, result.Err):
            return found.err_value
        if found.ok_value is not None:
            serving.report.repeat = True
            await serving.deliver_outcome(found.ok_value.outcome)
        return problem

    async def _claim(
        self, serving: '_Serving', attempt: ids.AttemptId,
        upstream: pool_module.Upstream, granted: claim_keeper.Granted | None
    ) -> result.Result[claim_keeper.Decision, errors.Failure]:
        call = serving.call
        wanted = claims.Claim(attempt=str(attempt),
                              host=upstream.hello.host,
                              incarnation=upstream.hello.incarnation,
                              session=upstream.link.session_id,
                              digest=_digest(call))
        if granted is not None:
            moved = await self._keeper.move(granted, wanted)
            if isinstance(moved, result.Ok):
                return moved
            # Another request with this key may have taken the claim over.
            serving.may_have_run = True
        key = claim_keeper.row_key(call.workspace, call.key)
        return await self._keeper.acquire(key, wanted)

    async def _carry_out(
            self, serving: '_Serving', attempt: ids.AttemptId,
            upstream: pool_module.Upstream,
            decision: claim_keeper.Decision) -> errors.Failure | None:
        """Does what was decided about a key; None for a whole answer."""
        match decision:
            case claim_keeper.Replay():
                serving.report.repeat = True
                await serving.deliver_outcome(decision.outcome)
                return None
            case claim_keeper.Attach():
                serving.report.repeat = True
                serving.may_have_run = True
                return await self._join(serving, decision)
            case _:
                return await self._hand_over(serving, attempt, upstream,
                                             decision)

    async def _attempt(self, serving: '_Serving', attempt: ids.AttemptId,
                       upstream: pool_module.Upstream) -> errors.Failure | None:
        """Makes one repeatable attempt; None when the answer is whole."""
        handed = await self._send_begin(serving, attempt, upstream)
        if handed is None:
            return self._not_sent(serving, upstream)
        handed = await self._hedge(serving, handed)
        chosen = handed.upstream
        relay = relay_module.Relay(
            attempt=handed.attempt,
            stream=serving.call.stream,
            pool=self._pool,
            moves_on=lambda: self._can_move_on(serving, chosen))
        relay.upstream = chosen
        try:
            failure = await relay.run(handed.upstream, handed.stream, serving)
        except BaseException:
            relay.cancel()
            raise
        relay.confirm()
        self._learn(serving, handed, failure)
        return failure

    def _can_move_on(self, serving: '_Serving',
                     upstream: pool_module.Upstream) -> bool:
        """Whether another upstream can answer from the start."""
        call = serving.call
        if (serving.head_sent or
                serving.report.attempts > call.work_class.retries):
            return False
        tiers = self._pool.group(call.kind, call.name).tiers
        return any(other.host != upstream.host and other.link.is_open and
                   not other.leaving for tier in tiers[-1:] for other in tier)

    async def _hand_over(
            self, serving: '_Serving', attempt: ids.AttemptId,
            upstream: pool_module.Upstream,
            granted: claim_keeper.Granted) -> errors.Failure | None:
        """Makes the claimed attempt; None when the answer is whole."""
        handed = await self._send_begin(serving, attempt, upstream)
        if handed is None:
            return self._not_sent(serving, upstream)
        kept = self._keep(granted, upstream, handed.stream, serving.call.stream)
        failure = await kept.follow(serving)
        self._learn(serving, handed, failure)
        return failure

    def _not_sent(self, serving: '_Serving',
                  upstream: pool_module.Upstream) -> errors.Failure:
        failure = errors.failure(errors.Kind.LINK_LOST, ran=errors.Ran.NO)
        self.chooser.note_failure(serving.need, upstream, failure)
        return failure

    def _learn(self, serving: '_Serving', handed: hedge.Handed,
               failure: errors.Failure | None) -> None:
        if failure is not None:
            self.chooser.note_failure(serving.need, handed.upstream, failure)
            return
        taken_s = self._time.monotonic() - handed.sent_at
        self.chooser.note_success(serving.need, handed.upstream,
                                  taken_s - serving.waited_s)

    async def _hedge(self, serving: '_Serving',
                     first: hedge.Handed) -> hedge.Handed:
        """Waits for a part; makes a second attempt when there is none."""
        after_s = self.chooser.hedge_after_s(serving.need)
        if after_s is None:
            return first
        second = None
        try:
            while second is None:
                if await first.has_part_within(after_s):
                    return first
                after_s = _HEDGE_PAUSE_S
                serving.need.failed_hosts.add(first.upstream.host)
                upstream = self.chooser.choose_hedge(serving.need)
                if upstream is not None:
                    second = await self._send_begin(serving,
                                                    serving.next_attempt(),
                                                    upstream)
        except BaseException:
            first.cancel()
            raise
        winner, loser = await hedge.race(first, second)
        loser.cancel()
        if loser is first:
            first.upstream.note_answer(good=False)
        return winner

    async def _join(self, serving: '_Serving',
                    held: claim_keeper.Attach) -> errors.Failure | None:
        """Follows an attempt that another request with this key began."""
        kept = self._kept_by_attempt.get(held.claim.attempt)
        if kept is None:
            kept = self._resume(held, held.upstream, serving.call.stream)
        return await kept.follow(serving)

    def _relay(self, attempt: str, stream: bool) -> relay_module.Relay:
        return relay_module.Relay(attempt=attempt,
                                  stream=stream,
                                  pool=self._pool)

    async def _send_begin(
            self, serving: '_Serving', attempt: ids.AttemptId,
            upstream: pool_module.Upstream) -> hedge.Handed | None:
        """Hands an attempt over; None when it is sure that it was not."""
        await upstream.link.drain()
        begin = self._begin(serving, attempt, upstream)
        stream = upstream.open(begin.attempt)
        sent_at = self._time.monotonic()
        if not link_port.send_if_open(upstream.link, begin):
            upstream.close(begin.attempt)
            return None
        upstream.note_sent()
        serving.report.attempts += 1
        serving.report.hops.append(
            spans.Hop(attempt=begin.attempt,
                      host=upstream.hello.host,
                      sent_at=sent_at))
        return hedge.Handed(attempt=begin.attempt,
                            upstream=upstream,
                            stream=stream,
                            sent_at=sent_at)

    def _begin(self, serving: '_Serving', attempt: ids.AttemptId,
               upstream: pool_module.Upstream) -> messages.Begin:
        call = serving.call
        need = serving.need
        now = self._time.monotonic()
        left_s = max(0.0, call.deadline - now)
        due_s = max(_MIN_DUE_S, need.due_at - now)
        return messages.Begin(attempt=str(attempt),
                              session=upstream.link.session_id,
                              workspace=call.workspace,
                              work_class=call.work_class.name,
                              importance=int(call.work_class.importance),
                              repeatable=call.work_class.repeatable,
                              key=call.key,
                              deadline_ms=int(left_s * 1000),
                              target_ms=max(1, int(due_s * 1000)),
                              whole=need.whole,
                              between_tokens_ms=need.between_tokens_ms,
                              stream=call.stream,
                              window=relay_module.window(call.stream),
                              method=call.method,
                              path=call.path,
                              headers=call.headers,
                              body=call.body)

    # Work that may not be repeated goes on without its caller.

    def _resume(self, held: claim_keeper.Attach, upstream: pool_module.Upstream,
                streamed: bool) -> relay_module.KeptAnswer:
        """Asks an agent for the whole of a kept answer."""
        attempt = held.claim.attempt
        stream = upstream.open(attempt)
        resume = messages.Resume(attempt, 0, relay_module.window(streamed))
        if not link_port.send_if_open(upstream.link, resume):
            stream.put(None)
        return self._keep(held, upstream, stream, streamed)

    def _keep(self, held: claim_keeper.Granted | claim_keeper.Attach,
              upstream: pool_module.Upstream, stream: pool_module.AttemptStream,
              streamed: bool) -> relay_module.KeptAnswer:
        """Starts to collect an answer and to record it in the table."""
        kept = relay_module.KeptAnswer()
        self._kept_by_attempt[held.claim.attempt] = kept
        relay = self._relay(held.claim.attempt, streamed)
        self._start(self._collect(held, relay, upstream, stream, kept))
        return kept

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)

    async def _collect(self, held: claim_keeper.Granted | claim_keeper.Attach,
                       relay: relay_module.Relay,
                       upstream: pool_module.Upstream,
                       stream: pool_module.AttemptStream,
                       kept: relay_module.KeptAnswer) -> None:
        failure: errors.Failure | None = errors.failure(errors.Kind.INTERNAL)
        try:
            failure = await relay.run(upstream, stream, kept)
        finally:
            kept.finish(failure)
            del self._kept_by_attempt[held.claim.attempt]
        if _has_ended(failure):
            await self._record(held, relay, kept.outcome)

    async def _record(self, held: claim_keeper.Granted | claim_keeper.Attach,
                      relay: relay_module.Relay,
                      outcome: claims.Outcome | None) -> None:
        """Keeps an outcome in the table, then lets the agent forget it."""
        pause_s = _RECORD_PAUSE_MIN_S
        while not await self._keeper.record(held, outcome):
            await self._time.sleep(pause_s)
            pause_s = min(pause_s * 2, _RECORD_PAUSE_MAX_S)
        relay.confirm()

    def _adopt(self, link: link_port.Link,
               message: messages.Unconfirmed) -> None:
        """Records an outcome whose entry host did not."""
        upstream = self._pool.by_host.get(link.peer.host)
        if upstream is None:
            return
        if message.attempt not in self._kept_by_attempt:
            self._start(self._record_unconfirmed(upstream, message))

    async def _record_unconfirmed(self, upstream: pool_module.Upstream,
                                  message: messages.Unconfirmed) -> None:
        key = claim_keeper.row_key(message.workspace, message.key)
        found = await self._keeper.find(key, message.attempt, upstream)
        if isinstance(found, result.Err):
            return
        if found.ok_value is None:
            link_port.send_if_open(upstream.link,
                                   messages.Confirm(message.attempt))
        elif message.attempt not in self._kept_by_attempt:
            self._resume(found.ok_value, upstream, message.stream)


@dataclasses.dataclass
class _Serving(relay_module.Receiver):
    """One request on its way.

    Attributes:
        call: the request.
        sink: where its answer goes.
        report: how it went.
        head_sent: whether the caller has a part of the answer.
        may_have_run: whether there is no proof that nothing ran.
        answered: whether a kept outcome has been delivered.
        last_attempt: the number of the newest attempt.
        waited_s: seconds that the answered attempt waited for its turn.
    """

    call: Call
    sink: Sink
    report: Report
    need: chooser_module.Need
    head_sent: bool = False
    may_have_run: bool = False
    answered: bool = False
    last_attempt: int = 0
    waited_s: float = 0.0

    def next_attempt(self) -> ids.AttemptId:
        """Names another attempt."""
        self.last_attempt += 1
        return ids.AttemptId(self.call.request_id, self.last_attempt)

    @property
    def ran(self) -> errors.Ran:
        """What is proved when the request ends without an answer."""
        if self.report.attempts or self.may_have_run:
            return errors.Ran.UNKNOWN
        return errors.Ran.NO

    def fail(self, problem: errors.Failure) -> None:
        """Ends the request with its last attempt's failure."""
        if problem.ran is errors.Ran.NO and self.may_have_run:
            problem = dataclasses.replace(problem, ran=errors.Ran.UNKNOWN)
        self.report.failure = problem

    def may_retry(self, failure: errors.Failure) -> bool:
        """Whether another attempt is allowed after a failure."""
        if failure.ran is not errors.Ran.NO:
            self.may_have_run = True
        retries_made = self.last_attempt - 1
        if self.head_sent or retries_made >= self.call.work_class.retries:
            return False
        return retries.is_safe(self.call.work_class, failure.ran)

    async def take_head(self, head: messages.Head) -> None:
        self.waited_s = head.waited_ms / 1000
        if not self.head_sent:
            self.head_sent = True
            await self.sink.head(head.status, head.headers,
                                 self.report.attempts)

    async def take_data(self, data: bytes, count: int) -> None:
        now = asyncio.get_running_loop().time()
        self.report.pace.observe(now - self.report.started_at, count)
        await self.sink.data(data)

    def take_at_once(self, data: bytes, count: int) -> bool:
        if not self.head_sent or not self.sink.data_at_once(data):
            return False
        now = asyncio.get_running_loop().time()
        self.report.pace.observe(now - self.report.started_at, count)
        return True

    async def take_end(self) -> None:
        await self.sink.end()

    def take_served(self, served: messages.Served) -> None:
        now = asyncio.get_running_loop().time()
        for hop in self.report.hops:
            if hop.attempt == served.attempt:
                hop.settle(served, now)

    async def deliver_outcome(self, outcome: claims.Outcome) -> None:
        """Answers with a kept outcome."""
        self.head_sent = True
        self.answered = True
        await self.sink.head(outcome.status, outcome.headers,
                             self.report.attempts)
        await self.sink.data(outcome.body)
        await self.sink.end()


def _digest(call: Call) -> str:
    return claim_keeper.request_digest(call.method, call.path,
                                       call.work_class.name, call.body)


def _need(call: Call, now: float) -> chooser_module.Need:
    return chooser_module.Need(workspace=call.workspace,
                               work_class=call.work_class,
                               kind=call.kind,
                               name=call.name,
                               stream=call.stream,
                               body=call.body,
                               accepted_at=now,
                               deadline=call.deadline)


def _has_ended(failure: errors.Failure | None) -> bool:
    """Whether the agent has said how the attempt ended, run or not."""
    if failure is None:
        return True
    return (failure.kind is not errors.Kind.LINK_LOST and
            failure.ran is not errors.Ran.NO)
