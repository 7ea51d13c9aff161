"""Keeps claims in the table for work that may not be repeated."""

import base64
import dataclasses
import hashlib
import json
from collections.abc import Callable
from urllib import parse

import result

from pollenthread.app import pool as pool_module
from pollenthread.core import claims, errors
from pollenthread.ports import table

__all__ = [
    'Attach', 'ClaimKeeper', 'Granted', 'Replay', 'SHARDS', 'dump_claim',
    'parse_claim', 'request_digest', 'row_key', 'shard_prefix'
]

SHARDS = 4096
_SHARD_DIGITS = 3
_MAX_ROUNDS = 8
_LINK_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True)
class Granted:
    """The attempt may be handed to the agent."""

    key: str
    claim: claims.Claim
    version: int


@dataclasses.dataclass(frozen=True)
class Replay:
    """The work is done: this is its kept outcome."""

    outcome: claims.Outcome


@dataclasses.dataclass(frozen=True)
class Attach:
    """Another attempt holds the claim and its answer can be had."""

    key: str
    claim: claims.Claim
    version: int
    upstream: pool_module.Upstream


Decision = Granted | Replay | Attach


def request_digest(method: str, path: str, work_class: str, body: bytes) -> str:
    """Digest that tells whether a repeat carries the same request."""
    head = f'{method}\0{path}\0{work_class}\0'.encode()
    return hashlib.sha256(head + body).hexdigest()


class ClaimKeeper:
    """Claims keys, takes claims over, and records outcomes."""

    def __init__(self, *, table_service: table.TableService,
                 pool: pool_module.Pool, want_upstream: Callable[[str], bool],
                 wall: Callable[[], float]) -> None:
        self._table = table_service
        self._pool = pool
        self._want_upstream = want_upstream
        self._wall = wall

    async def acquire(
            self, key: str,
            wanted: claims.Claim) -> result.Result[Decision, errors.Failure]:
        """Claims a key for an attempt.

        Args:
            key: the row's key, from `row_key`.
            wanted: the claim to insert.

        Returns:
            Leave to begin, an outcome to replay, or an attempt to attach to;
            a failure proves that this call let nothing run.
        """
        wanted = dataclasses.replace(wanted, claimed_at_s=int(self._wall()))
        for _ in range(_MAX_ROUNDS):
            inserted = await self._table.put(
                key, dump_claim(wanted), expected_version=table.ABSENT_VERSION)
            if isinstance(inserted, result.Ok):
                return result.Ok(Granted(key, wanted, inserted.ok_value))
            if not _may_have_row(inserted.err_value):
                return result.Err(_table_failure())
            found = await self._table.get(key)
            if isinstance(found, result.Err):
                return result.Err(_table_failure())
            row = found.ok_value
            if row is None:
                continue
            decision = await self._decide(row, wanted)
            if decision is not None:
                return decision
        return result.Err(_table_failure())

    async def look_up(
            self, key: str,
            digest: str) -> result.Result[Replay | None, errors.Failure]:
        """Finds how the work under a key ended, without claiming it.

        Args:
            key: the row's key, from `row_key`.
            digest: the digest of the caller's request.

        Returns:
            The kept outcome, or None when nothing has claimed the key.
        """
        found = await self._table.get(key)
        if isinstance(found, result.Err):
            return result.Err(_table_failure())
        if found.ok_value is None:
            return result.Ok(None)
        claim = parse_claim(found.ok_value.value)
        match claims.first_step(claim, attempt='', digest=digest):
            case claims.Step.REPLAY:
                assert claim.outcome is not None
                return result.Ok(Replay(claim.outcome))
            case claims.Step.REFUSE_REUSED:
                return result.Err(errors.failure(errors.Kind.KEY_REUSED))
            case _:
                return result.Err(errors.failure(errors.Kind.OUTCOME_UNKNOWN))

    async def move(
            self, granted: Granted,
            wanted: claims.Claim) -> result.Result[Granted, errors.Failure]:
        """Moves a claim whose attempt is proved not to have run."""
        wanted = dataclasses.replace(wanted,
                                     claimed_at_s=granted.claim.claimed_at_s)
        version = await self._replace(granted.key, granted.version, wanted)
        if version is None:
            return result.Err(_table_failure())
        return result.Ok(Granted(granted.key, wanted, version))

    async def release(self, granted: Granted) -> bool:
        """Deletes a claim whose attempt is proved not to have run.

        Returns:
            Whether it is sure that nobody has taken the claim over.
        """
        released = await self._table.commit(
            [table.TableWrite(granted.key, None, granted.version)])
        return isinstance(released, result.Ok)

    async def find(
        self, key: str, attempt: str, upstream: pool_module.Upstream
    ) -> result.Result[Attach | None, errors.Failure]:
        """Finds the claim of an attempt that an agent has finished.

        Args:
            key: the row's key, from `row_key`.
            attempt: the finished attempt.
            upstream: where the attempt ran.

        Returns:
            The claim to record an outcome for, or None when the table proves
            that the key has ended; a failure when it proves neither.
        """
        found = await self._table.get(key)
        if isinstance(found, result.Err):
            return result.Err(_table_failure())
        row = found.ok_value
        claim = None if row is None else parse_claim(row.value)
        if claims.has_ended(claim):
            return result.Ok(None)
        if row is None or claim is None or claim.attempt != attempt:
            return result.Err(errors.failure(errors.Kind.OUTCOME_UNKNOWN))
        return result.Ok(Attach(key, claim, row.version, upstream))

    async def record(self, held: Granted | Attach,
                     outcome: claims.Outcome | None) -> bool:
        """Keeps how the work ended.

        Args:
            held: the claim.
            outcome: the whole answer, or None when the outcome is unknown.

        Returns:
            False when the table does not hold an ending yet.
        """
        state = (claims.ClaimState.UNKNOWN
                 if outcome is None else claims.ClaimState.DONE)
        done = dataclasses.replace(held.claim, state=state, outcome=outcome)
        version = await self._replace(held.key, held.version, done)
        if version is not None:
            return True
        found = await self._table.get(held.key)
        if isinstance(found, result.Err) or found.ok_value is None:
            return False
        return (parse_claim(found.ok_value.value).state
                is not claims.ClaimState.CLAIMED)

    async def _decide(
            self, row: table.TableRow, wanted: claims.Claim
    ) -> result.Result[Decision, errors.Failure] | None:
        """Decides from a row; None asks for another round."""
        claim = parse_claim(row.value)
        step = claims.first_step(claim,
                                 attempt=wanted.attempt,
                                 digest=wanted.digest)
        if step is claims.Step.ASK_SEAL:
            return await self._ask_seal(row, claim, wanted)
        match step:
            case claims.Step.BEGIN:
                return result.Ok(Granted(row.key, claim, row.version))
            case claims.Step.REPLAY:
                assert claim.outcome is not None
                return result.Ok(Replay(claim.outcome))
            case claims.Step.REFUSE_REUSED:
                return result.Err(errors.failure(errors.Kind.KEY_REUSED))
            case _:
                return result.Err(errors.failure(errors.Kind.OUTCOME_UNKNOWN))

    async def _ask_seal(
            self, row: table.TableRow, claim: claims.Claim, wanted: claims.Claim
    ) -> result.Result[Decision, errors.Failure] | None:
        upstream = self._pool.by_host.get(claim.host)
        if upstream is None and self._want_upstream(claim.host):
            upstream = await self._pool.wait_for(claim.host, claim.incarnation,
                                                 _LINK_TIMEOUT_S)
        state = None
        incarnation = ''
        if upstream is not None:
            incarnation = upstream.hello.incarnation
            if incarnation == claim.incarnation:
                state = await upstream.seal(claim.attempt, claim.session)
        step = claims.after_seal(claim, incarnation=incarnation, state=state)
        if step is claims.Step.TAKE_OVER:
            version = await self._replace(row.key, row.version, wanted)
            if version is None:
                return None
            return result.Ok(Granted(row.key, wanted, version))
        if step is claims.Step.ATTACH:
            assert upstream is not None
            return result.Ok(Attach(row.key, claim, row.version, upstream))
        if incarnation and incarnation != claim.incarnation:
            unknown = dataclasses.replace(claim,
                                          state=claims.ClaimState.UNKNOWN)
            await self._replace(row.key, row.version, unknown)
        return result.Err(errors.failure(errors.Kind.OUTCOME_UNKNOWN))

    async def _replace(self, key: str, version: int,
                       claim: claims.Claim) -> int | None:
        """Compare-and-set; settles a lost answer by reading again."""
        value = dump_claim(claim)
        written = await self._table.put(key, value, expected_version=version)
        if isinstance(written, result.Ok):
            return written.ok_value
        if written.err_value is not table.TableError.UNKNOWN:
            return None
        found = await self._table.get(key)
        if isinstance(found, result.Err) or found.ok_value is None:
            return None
        row = found.ok_value
        return row.version if row.value == value else None


def row_key(workspace: str, key: str) -> str:
    """The key of the row for an idempotency key."""
    digest = hashlib.sha256(f'{workspace}\0{key}'.encode()).hexdigest()
    name = parse.quote(key, safe='')
    return f'{shard_prefix(digest[:_SHARD_DIGITS])}{workspace}/{name}'


def shard_prefix(shard: str) -> str:
    """The prefix of the rows of one of `SHARDS` parts of all claims."""
    return f'claims/{shard}/'


def _may_have_row(fault: table.TableError) -> bool:
    return fault in (table.TableError.CONFLICT, table.TableError.UNKNOWN)


def _table_failure() -> errors.Failure:
    return errors.failure(errors.Kind.TABLE_UNAVAILABLE, ran=errors.Ran.NO)


def dump_claim(claim: claims.Claim) -> bytes:
    """The value of a claim's row."""
    fields = dataclasses.asdict(claim)
    if claim.outcome is not None:
        body = base64.b64encode(claim.outcome.body).decode()
        fields['outcome']['body'] = body
    return json.dumps(fields, sort_keys=True).encode()


def parse_claim(value: bytes) -> claims.Claim:
    """Reads the value of a claim's row."""
    fields = json.loads(value)
    kept = fields.pop('outcome')
    outcome = None
    if kept is not None:
        headers = tuple((name, text) for name, text in kept['headers'])
        outcome = claims.Outcome(status=kept['status'],
                                 headers=headers,
                                 body=base64.b64decode(kept['body']))
    state = claims.ClaimState(fields.pop('state'))
    return claims.Claim(**fields, state=state, outcome=outcome)
