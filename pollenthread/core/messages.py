"""Messages between the system's own processes."""

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
    """Opens a link: who is at this end.

    Attributes:
        host: the sender's host name.
        role: 'entry' or 'agent'.
        incarnation: changes with each start of the process.
        data_centre: where the host is.
        region: the region of the data centre.
        session: the accepting side's name for this link, unique for its
            incarnation; empty from the dialing side.
        kind: 'engine' or 'service' from an agent, else empty.
        name: the model group's or service's name from an agent.
        models: models that the upstream holds.
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
    """Asks whether the link still carries messages."""

    seq: int
    config_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answers a ping."""

    seq: int
    config_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Hands one attempt to an agent.

    Attributes:
        attempt: the attempt's id.
        session: the link session that the attempt is bound to.
        workspace: the workspace's name.
        work_class: the class's name.
        importance: the class's importance.
        repeatable: whether running twice does no harm.
        key: the idempotency key, or empty.
        deadline_ms: milliseconds left to the deadline.
        target_ms: milliseconds left to the latency target; zero without one.
        whole: whether the target is for the whole answer.
        between_tokens_ms: target between tokens; zero without one.
        stream: whether the answer is a stream of events.
        window: units that may be sent before credit is given.
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
    """The head of the upstream's answer.

    Attributes:
        attempt: the attempt's id.
        status: the HTTP status.
        headers: the headers.
        waited_ms: milliseconds that the attempt waited for its turn.
    """

    attempt: str
    status: int
    headers: tuple[http_headers.Header, ...]
    waited_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A part of an answer.

    Attributes:
        attempt: the attempt's id.
        offset: units before this part: events of a stream, else bytes.
        count: units in this part.
        data: the bytes to pass to the caller.
    """

    attempt: str
    offset: int
    count: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end marker: the answer is whole with `offset` units."""

    attempt: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """The attempt failed; `ran` is what the agent can prove."""

    attempt: str
    kind: errors.ErrorKind
    detail: str
    ran: errors.Executed


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """How long a traced attempt took at its agent; comes before its end.

    Attributes:
        attempt: the attempt's id.
        queued_us: microseconds until it began at the upstream.
        upstream_us: microseconds at the upstream.
    """

    attempt: str
    queued_us: int
    upstream_us: int


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """The first `offset` units have left; `window` more may be sent."""

    attempt: str
    offset: int
    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Nobody waits for the answer any more."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Seal:
    """Asks the agent never to begin an attempt.

    Attributes:
        attempt: the attempt's id.
        session: the link session that the attempt is bound to.
    """

    attempt: str
    session: str


class SealState(enum.StrEnum):
    """What an agent answers to a seal."""

    SEALED = 'sealed'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Sealed:
    """Answers a seal with one of the states of `SealState`."""

    attempt: str
    state: SealState


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Asks for an attempt's answer from a unit on."""

    attempt: str
    offset: int
    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """The attempt's outcome is kept in the table: it may be forgotten."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed:
    """A finished attempt whose outcome no entry host has confirmed.

    Attributes:
        attempt: the attempt's id.
        workspace: the workspace's name.
        key: the idempotency key.
        stream: whether the answer is a stream of events.
    """

    attempt: str
    workspace: str
    key: str
    stream: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """An agent's report.

    Attributes:
        running: attempts at the upstream.
        queued: attempts that wait at the agent, by importance from the lowest.
        limit: attempts that may run at once; zero while it is stalled.
        hold_us: recent mean microseconds that an attempt runs.
        first_unit_us: recent mean microseconds to the first unit.
        token_us: recent mean microseconds between tokens.
        own: running and waiting attempts that came over this link.
        seen: attempts that have come over this link since it opened.
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
    """The sender takes no new work."""

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigNews:
    """The sender has put a version in force."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigAsk:
    """Asks for the receiver's version.

    Attributes:
        seq: echoed in the answer.
        version: the version in force at the sender.
    """

    seq: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigGive:
    """Answers a `ConfigAsk`.

    Attributes:
        seq: the question's number.
        version: the version in force at the sender.
        is_proved: whether the sender has ever proved a version newest.
        age_ms: milliseconds since it was proved newest.
        document: the stored version, if the asker's is lower.
    """

    seq: int
    version: int
    is_proved: bool
    age_ms: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HostNews:
    """What one entry host says of another; passed on once by each host.

    Attributes:
        host: the host that it is about.
        incarnation: the start of its process that it is about.
        state: 'live', 'leaving' or 'dead'.
        reporter: the host that says so.
        number: rises with each news of one start of the reporter.
        reporter_incarnation: the reporter's incarnation.
    """

    host: str
    incarnation: str
    state: str
    reporter: str
    reporter_incarnation: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutyNews:
    """The row or the journal of a duty has changed: read it."""

    duty: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSend:
    """An order to an agent; the fields are those of `core.orders.Order`.

    Attributes:
        key_id: which key signed it.
        signature: HMAC over all other fields.
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
    """An agent's answer to an order; `answer` is one of `orders.Answer`."""

    id: str
    answer: str
    done: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A message between the ranks of a group; see `switch`.

    Attributes:
        group: the model group's name.
        kind: the name of the message's class.
        body: its fields, as JSON text.
    """

    group: str
    kind: str
    body: bytes


Message = (Hello | Ping | Pong | Begin | Head | Chunk | End | Fail | Credit |
           Cancel | Seal | Sealed | Resume | Confirm | Load | Leaving | Group |
           ConfigNews | ConfigAsk | ConfigGive | HostNews | DutyNews |
           OrderSend | OrderReply | Unconfirmed | Served)
