"""Messages on the links between entry hosts and agents."""

import dataclasses
import enum

from pollenthread.core import errors, http_headers

__all__ = [
    'Begin', 'Cancel', 'Chunk', 'ConfigAsk', 'ConfigGive', 'ConfigNews',
    'Confirm', 'Credit', 'DutyNews', 'End', 'Fail', 'Group', 'Head', 'Hello',
    'HostNews', 'Leaving', 'Load', 'Message', 'OrderReply', 'OrderSend', 'Ping',
    'Pong', 'Resume', 'Seal', 'SealState', 'Sealed', 'Served', 'Unconfirmed'
]


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Opens a link and identifies the sender.

    Attributes:
        host: the host name of the sender.
        role: 'entry' or 'agent'.
        incarnation: an id of the process start; changes with each start.
        data_centre: the data centre of the host.
        region: the region of the data centre.
        session: the session id that the accepting side assigns to this link,
            unique within its incarnation; empty from the dialing side.
        kind: 'engine' or 'service' from an agent, else empty.
        name: the name of the model group or service from an agent, else empty.
        models: the models that the upstream serves.
    """

    host: str
    role: str
    incarnation: str
    data_centre: str
    region: str
    session: str = ''
    kind: str = ''
    name: str = ''
    models: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Checks that the link still delivers messages."""

    seq: int
    config_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Replies to a `Ping` with the same sequence number."""

    seq: int
    config_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Starts an attempt at an agent.

    Attributes:
        attempt: the attempt id.
        session: the link session that the attempt is bound to.
        workspace: the name of the workspace.
        work_class: the name of the work class.
        importance: the importance of the work class.
        repeatable: whether the request may safely run more than once.
        key: the idempotency key, or empty.
        deadline_ms: milliseconds left until the deadline.
        target_ms: milliseconds left until the latency target; 0 without one.
        whole: whether the latency target is for the complete response instead
            of its first unit.
        between_tokens_ms: the target time between tokens in milliseconds; 0
            without one.
        stream: whether the response is a stream of events.
        window: the units that may be sent before the first `Credit`.
        method: the HTTP method for the upstream.
        path: the path and query for the upstream.
        headers: the headers for the upstream.
        body: the request body.
    """

    attempt: str
    session: str
    workspace: str
    work_class: str
    importance: int
    repeatable: bool
    key: str
    deadline_ms: int
    target_ms: int
    whole: bool
    between_tokens_ms: int
    stream: bool
    window: int
    method: str
    path: str
    headers: tuple[http_headers.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of the upstream's response.

    Attributes:
        attempt: the attempt id.
        status: the HTTP status.
        headers: the HTTP headers.
        waited_ms: milliseconds that the attempt was queued at the agent.
    """

    attempt: str
    status: int
    headers: tuple[http_headers.Header, ...]
    waited_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A part of the response body.

    Attributes:
        attempt: the attempt id.
        offset: the number of units before this part. A unit is an event of a
            stream, else a byte.
        count: the number of units in this part.
        data: the bytes to forward to the caller.
    """

    attempt: str
    offset: int
    count: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Marks the response as complete after `offset` units."""

    attempt: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Reports a failed attempt; `ran` states whether it can have run."""

    attempt: str
    kind: errors.ErrorKind
    detail: str
    ran: errors.Executed


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """The times of a traced attempt at its agent; sent before `End`.

    Attributes:
        attempt: the attempt id.
        queued_us: microseconds until the attempt began at the upstream.
        upstream_us: microseconds that the attempt took at the upstream.
    """

    attempt: str
    queued_us: int
    upstream_us: int


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Grants `window` more units after the first `offset` were forwarded."""

    attempt: str
    offset: int
    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels an attempt whose response is no longer needed."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Seal:
    """Requests the agent never to start an attempt.

    Attributes:
        attempt: the attempt id.
        session: the link session that the attempt is bound to.
    """

    attempt: str
    session: str


class SealState(enum.StrEnum):
    """The state of an attempt in the reply to `Seal`."""

    SEALED = 'sealed'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Sealed:
    """Replies to `Seal` with the state of the attempt."""

    attempt: str
    state: SealState


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Requests the response of an attempt from unit `offset` on."""

    attempt: str
    offset: int
    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """Confirms that the table stores the outcome; the agent may discard it."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed:
    """A finished attempt whose outcome no entry host has confirmed.

    Attributes:
        attempt: the attempt id.
        workspace: the name of the workspace.
        key: the idempotency key.
        stream: whether the response is a stream of events.
    """

    attempt: str
    workspace: str
    key: str
    stream: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load report of an agent.

    Attributes:
        running: the number of attempts at the upstream.
        queued: the numbers of attempts queued at the agent, by importance from
            the lowest.
        limit: the number of attempts that may run at once; 0 while the
            upstream is stalled.
        hold_us: the recent mean duration of an attempt, in microseconds.
        first_unit_us: the recent mean time to the first unit, in microseconds.
        token_us: the recent mean time between tokens, in microseconds.
        own: the running and queued attempts received over this link.
        seen: all attempts received over this link since it was opened.
    """

    running: int
    queued: tuple[int, ...]
    limit: int
    hold_us: int
    first_unit_us: int
    token_us: int
    own: int
    seen: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Announces that a host accepts no new work."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigNews:
    """Announces that the sender has applied a configuration version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigAsk:
    """Requests the configuration version of the receiver.

    Attributes:
        seq: a sequence number, echoed in the reply.
        version: the version in effect at the sender.
    """

    seq: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigGive:
    """Replies to a `ConfigAsk`.

    Attributes:
        seq: the sequence number of the request.
        version: the version in effect at the sender.
        is_proved: whether the sender has ever proved a version the newest.
        age_ms: milliseconds since `version` was proved the newest.
        document: the stored configuration if the requester has a lower
            version, else empty.
    """

    seq: int
    version: int
    is_proved: bool
    age_ms: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HostNews:
    """A report about a host by an entry host; each host forwards it once.

    Attributes:
        host: the reported host.
        incarnation: the incarnation of the reported host.
        state: 'live', 'leaving' or 'dead'.
        reporter: the reporting host.
        reporter_incarnation: the incarnation of the reporting host.
        number: the sequence number of the report within the incarnation of
            the reporting host.
    """

    host: str
    incarnation: str
    state: str
    reporter: str
    reporter_incarnation: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutyNews:
    """Announces that the lease row or the journal of a duty has changed."""

    duty: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSend:
    """A signed order to an agent; see `orders.Order` for the other fields.

    Attributes:
        key_id: the id of the signing key; empty if not signed.
        signature: the HMAC of all other fields; empty if not signed.
    """

    id: str
    duty: str
    number: int
    host: str
    kind: str
    arguments: str
    fencing: int
    incarnation: str
    settled_below: int
    key_id: str
    signature: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """The reply to an order; `answer` is a value of `orders.OrderAnswer`."""

    id: str
    answer: str
    done: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A message of the map switch of a group; see `switch`.

    Attributes:
        group: the name of the model group.
        kind: the class name of the message.
        body: the fields of the message, as JSON text.
    """

    group: str
    kind: str
    body: bytes


Message = (Hello | Ping | Pong | Begin | Head | Chunk | End | Fail | Credit |
           Cancel | Seal | Sealed | Resume | Confirm | Load | Leaving | Group |
           ConfigNews | ConfigAsk | ConfigGive | HostNews | DutyNews |
           OrderSend | OrderReply | Unconfirmed | Served)
