"""Stores the claims of non-repeatable requests in the table.

A claim is a row under the idempotency key of a request. It allows a single
attempt to run and later holds the response.
"""

import base64
import dataclasses
import hashlib
import json
from collections.abc import Callable
from urllib import parse

import result

from pollenthread.app import upstream_pool
from pollenthread.core import claims, errors
from pollenthread.ports import table

__all__ = [
    'AttachableClaim', 'ClaimStore', 'GrantedClaim', 'ReplayedResponse',
    'SHARD_COUNT', 'decode_claim', 'encode_claim', 'request_digest', 'row_key',
    'shard_prefix'
]

SHARD_COUNT = 4096
_SHARD_DIGITS = 3
_MAX_ACQUIRE_TRIES = 8
_LINK_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True)
class GrantedClaim:
    """A claim that allows its attempt to be sent to the agent.

    Attributes:
        key: the row's key.
        claim: the claim.
        version: the row's version.
    """

    key: str
    claim: claims.Claim
    version: int


@dataclasses.dataclass(frozen=True)
class ReplayedResponse:
    """The stored response of a completed request.

    Attributes:
        outcome: the response.
    """

    outcome: claims.StoredResponse


@dataclasses.dataclass(frozen=True)
class AttachableClaim:
    """A claim of another attempt whose response its agent can send.

    Attributes:
        key: the row's key.
        claim: the claim.
        version: the row's version.
        upstream: where the attempt runs or has run.
    """

    key: str
    claim: claims.Claim
    version: int
    upstream: upstream_pool.LinkedUpstream


ClaimDecision = GrantedClaim | ReplayedResponse | AttachableClaim


def request_digest(method: str, path: str, work_class: str, body: bytes) -> str:
    """Digest of a request, to detect the reuse of a key for another one."""
    head = f'{method}\0{path}\0{work_class}\0'.encode()
    return hashlib.sha256(head + body).hexdigest()


class ClaimStore:
    """Acquires and releases claims and records responses in them."""

    def __init__(self, *, table_service: table.TableService,
                 pool: upstream_pool.UpstreamPool, request_link: Callable[[str],
                                                                          bool],
                 wall_clock: Callable[[], float]) -> None:
        self._table = table_service
        self._pool = pool
        self._request_link = request_link
        self._wall_clock = wall_clock

    async def acquire(
        self, key: str, new_claim: claims.Claim
    ) -> result.Result[ClaimDecision, errors.Failure]:
        """Claims a key for an attempt.

        Args:
            key: the row's key, from `row_key`.
            new_claim: the claim to insert.

        Returns:
            The granted claim, a stored response, or the claim of an attempt to
            follow. A failure means that this call has allowed no attempt to
            run.
        """
        new_claim = dataclasses.replace(new_claim,
                                        claimed_at_s=int(self._wall_clock()))
        for _ in range(_MAX_ACQUIRE_TRIES):
            inserted = await self._table.put(
                key,
                encode_claim(new_claim),
                expected_version=table.ABSENT_VERSION)
            if isinstance(inserted, result.Ok):
                return result.Ok(GrantedClaim(key, new_claim,
                                              inserted.ok_value))
            if not _row_may_exist(inserted.err_value):
                return result.Err(_table_failure())
            found = await self._table.get(key)
            if isinstance(found, result.Err):
                return result.Err(_table_failure())
            row = found.ok_value
            if row is None:
                continue
            decision = await self._decide(row, new_claim)
            if decision is not None:
                return decision
        return result.Err(_table_failure())

    async def look_up(
            self, key: str, digest: str
    ) -> result.Result[ReplayedResponse | None, errors.Failure]:
        """Looks up the stored response for a key without claiming the key.

        Args:
            key: the row's key, from `row_key`.
            digest: the digest of the caller's request.

        Returns:
            The stored response, or None when the key is not claimed.
        """
        found = await self._table.get(key)
        if isinstance(found, result.Err):
            return result.Err(_table_failure())
        if found.ok_value is None:
            return result.Ok(None)
        claim = decode_claim(found.ok_value.value)
        match claims.initial_action(claim, attempt='', digest=digest):
            case claims.ClaimAction.REPLAY:
                assert claim.outcome is not None
                return result.Ok(ReplayedResponse(claim.outcome))
            case claims.ClaimAction.REJECT_REUSED:
                return result.Err(
                    errors.make_failure(errors.ErrorKind.KEY_REUSED))
            case _:
                return result.Err(
                    errors.make_failure(errors.ErrorKind.OUTCOME_UNKNOWN))

    async def reassign(
            self, granted: GrantedClaim, new_claim: claims.Claim
    ) -> result.Result[GrantedClaim, errors.Failure]:
        """Reassigns a claim whose attempt has certainly not run.

        Args:
            granted: the claim.
            new_claim: the claim for the new attempt.

        Returns:
            The new claim; a failure when the table did not confirm it.
        """
        new_claim = dataclasses.replace(new_claim,
                                        claimed_at_s=granted.claim.claimed_at_s)
        version = await self._replace(granted.key, granted.version, new_claim)
        if version is None:
            return result.Err(_table_failure())
        return result.Ok(GrantedClaim(granted.key, new_claim, version))

    async def release(self, granted: GrantedClaim) -> bool:
        """Deletes a claim whose attempt has certainly not run.

        Returns:
            False when another request may have taken over the claim.
        """
        released = await self._table.commit(
            [table.TableWrite(granted.key, None, granted.version)])
        return isinstance(released, result.Ok)

    async def find_claim(
        self, key: str, attempt: str, upstream: upstream_pool.LinkedUpstream
    ) -> result.Result[AttachableClaim | None, errors.Failure]:
        """Finds the claim of an attempt that an agent has finished.

        Args:
            key: the row's key, from `row_key`.
            attempt: the finished attempt.
            upstream: where the attempt ran.

        Returns:
            The claim to record a response for, or None when the row already
            holds a result; a failure when the row is missing or belongs to
            another attempt.
        """
        found = await self._table.get(key)
        if isinstance(found, result.Err):
            return result.Err(_table_failure())
        row = found.ok_value
        claim = None if row is None else decode_claim(row.value)
        if claims.has_ended(claim):
            return result.Ok(None)
        if row is None or claim is None or claim.attempt != attempt:
            return result.Err(
                errors.make_failure(errors.ErrorKind.OUTCOME_UNKNOWN))
        return result.Ok(AttachableClaim(key, claim, row.version, upstream))

    async def record_outcome(self, held_claim: GrantedClaim | AttachableClaim,
                             outcome: claims.StoredResponse | None) -> bool:
        """Records the result of an attempt in its claim.

        Args:
            held_claim: the claim.
            outcome: the complete response, or None when the result is unknown.

        Returns:
            Whether the table holds a result for the key.
        """
        state = (claims.ClaimState.UNKNOWN
                 if outcome is None else claims.ClaimState.DONE)
        ended = dataclasses.replace(held_claim.claim,
                                    state=state,
                                    outcome=outcome)
        version = await self._replace(held_claim.key, held_claim.version, ended)
        if version is not None:
            return True
        found = await self._table.get(held_claim.key)
        if isinstance(found, result.Err) or found.ok_value is None:
            return False
        return (decode_claim(found.ok_value.value).state
                is not claims.ClaimState.CLAIMED)

    async def _decide(
        self, row: table.TableRow, new_claim: claims.Claim
    ) -> result.Result[ClaimDecision, errors.Failure] | None:
        """Decides what a row allows; None when the row must be read again."""
        claim = decode_claim(row.value)
        action = claims.initial_action(claim,
                                       attempt=new_claim.attempt,
                                       digest=new_claim.digest)
        if action is claims.ClaimAction.ASK_SEAL:
            return await self._ask_seal(row, claim, new_claim)
        match action:
            case claims.ClaimAction.BEGIN:
                return result.Ok(GrantedClaim(row.key, claim, row.version))
            case claims.ClaimAction.REPLAY:
                assert claim.outcome is not None
                return result.Ok(ReplayedResponse(claim.outcome))
            case claims.ClaimAction.REJECT_REUSED:
                return result.Err(
                    errors.make_failure(errors.ErrorKind.KEY_REUSED))
            case _:
                return result.Err(
                    errors.make_failure(errors.ErrorKind.OUTCOME_UNKNOWN))

    async def _ask_seal(
        self, row: table.TableRow, claim: claims.Claim, new_claim: claims.Claim
    ) -> result.Result[ClaimDecision, errors.Failure] | None:
        """Decides by the reply of the claim's agent to a seal request."""
        upstream = self._pool.by_host.get(claim.host)
        if upstream is None and self._request_link(claim.host):
            upstream = await self._pool.wait_for_link(claim.host,
                                                      claim.incarnation,
                                                      _LINK_TIMEOUT_S)
        state = None
        incarnation = ''
        if upstream is not None:
            incarnation = upstream.hello.incarnation
            if incarnation == claim.incarnation:
                state = await upstream.seal(claim.attempt, claim.session)
        action = claims.action_after_seal(claim,
                                          incarnation=incarnation,
                                          state=state)
        if action is claims.ClaimAction.TAKE_OVER:
            version = await self._replace(row.key, row.version, new_claim)
            if version is None:
                return None
            return result.Ok(GrantedClaim(row.key, new_claim, version))
        if action is claims.ClaimAction.ATTACH:
            assert upstream is not None
            return result.Ok(
                AttachableClaim(row.key, claim, row.version, upstream))
        if incarnation and incarnation != claim.incarnation:
            unknown = dataclasses.replace(claim,
                                          state=claims.ClaimState.UNKNOWN)
            await self._replace(row.key, row.version, unknown)
        return result.Err(errors.make_failure(errors.ErrorKind.OUTCOME_UNKNOWN))

    async def _replace(self, key: str, version: int,
                       claim: claims.Claim) -> int | None:
        """Replaces a row if its version is unchanged.

        Reads the row when the table's reply is lost.

        Returns:
            The new version; None if the row was not or may not be replaced.
        """
        value = encode_claim(claim)
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
    """Returns the key of the row for an idempotency key."""
    digest = hashlib.sha256(f'{workspace}\0{key}'.encode()).hexdigest()
    name = parse.quote(key, safe='')
    return f'{shard_prefix(digest[:_SHARD_DIGITS])}{workspace}/{name}'


def shard_prefix(shard: str) -> str:
    """Returns the prefix of the rows in one of `SHARD_COUNT` shards."""
    return f'claims/{shard}/'


def _row_may_exist(error: table.TableError) -> bool:
    return error in (table.TableError.CONFLICT, table.TableError.UNKNOWN)


def _table_failure() -> errors.Failure:
    return errors.make_failure(errors.ErrorKind.TABLE_UNAVAILABLE,
                               executed=errors.Executed.NO)


def encode_claim(claim: claims.Claim) -> bytes:
    """Encodes a claim as the value of its row."""
    fields = dataclasses.asdict(claim)
    if claim.outcome is not None:
        body = base64.b64encode(claim.outcome.body).decode()
        fields['outcome']['body'] = body
    return json.dumps(fields, sort_keys=True).encode()


def decode_claim(value: bytes) -> claims.Claim:
    """Decodes the value of a claim's row."""
    fields = json.loads(value)
    stored = fields.pop('outcome')
    outcome = None
    if stored is not None:
        headers = tuple((name, text) for name, text in stored['headers'])
        outcome = claims.StoredResponse(status=stored['status'],
                                        headers=headers,
                                        body=base64.b64decode(stored['body']))
    state = claims.ClaimState(fields.pop('state'))
    return claims.Claim(**fields, state=state, outcome=outcome)
