"""Steps for crowds of clients outside the limits."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import crowd, platform_site

_STEP_TIMEOUT_S = 120.0
_BODY_BYTES = 2_000_000
_LARGE_BODY_BYTES = 1_000_000_000
_SENT_BEYOND_LIMIT_BYTES = 8_000_000
_SHORT_BYTES = 10
_PIECE_BYTES = 1_000
_BLOCK_BYTES = 100_000
_SHORT_CHUNKS = 20_000
_SHORT_FIELDS = 3_500
_PROMPT_PARTS = 3_500
_REQUESTS_AHEAD = 3_000
_CHUNKED = ('transfer-encoding', 'chunked')
_SLOW_SERVER_S = 1.2


@dataclasses.dataclass(frozen=True)
class _Place:
    """An address of the system, and a path there.

    Attributes:
        name: the name of the place in the features.
        address: returns the address at a site.
        target: the path that the clients request.
        is_agent: whether an agent listens there, and not an entry host.
    """

    name: str
    address: Callable[[platform_site.PlatformSite], str]
    target: str
    is_agent: bool = False


_PLACE_BY_NAME = {
    place.name: place for place in (
        _Place('a route', lambda site: site.callers(1), '/pay/x'),
        _Place('a long answer', lambda site: site.callers(1),
               f'/pay/bytes/{_BODY_BYTES}'),
        _Place('a stream', lambda site: site.callers(1), '/text/stream/100000'),
        _Place('no route', lambda site: site.callers(1), '/nowhere/x'),
        _Place('the directory', lambda site: site.directory_address(1),
               '/pollenthread/resolve?name=site.example&region=r&zone=dc-1'),
        _Place('the ready address', lambda site: site.ready_address(1),
               '/pollenthread/readyz'),
        _Place('the metrics address', lambda site: site.peer_address(1),
               '/metrics'),
        _Place('the control port', lambda site: site.control_address(1),
               '/peer/snapshot'),
        _Place('the port of an agent',
               lambda site: site.agent_address(1),
               '/peer/state',
               is_agent=True),
    )
}

_HeadMaker = Callable[..., bytes]


def _repeat(piece: bytes, size_bytes: int) -> Iterator[bytes]:
    """Yields blocks of a repeated piece, with `size_bytes` in total."""
    block = piece * (_BLOCK_BYTES // len(piece))
    for _ in range(size_bytes // len(block)):
        yield block
    yield piece * (size_bytes % len(block) // len(piece))


def _body_in_one_piece(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(('content-length', str(_BODY_BYTES)))
    yield b'x' * (_BODY_BYTES - _SHORT_BYTES)


def _body_in_small_pieces(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(('content-length', str(_BODY_BYTES)))
    for _ in range(_BODY_BYTES // _PIECE_BYTES - 1):
        yield b'x' * _PIECE_BYTES


def _body_in_chunks(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(_CHUNKED)
    chunk = f'{_PIECE_BYTES:x}\r\n{"x" * _PIECE_BYTES}\r\n'.encode()
    yield from _repeat(chunk, len(chunk) * (_BODY_BYTES // _PIECE_BYTES - 1))


def _body_in_short_chunks(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(_CHUNKED)
    chunk = b'a\r\nxxxxxxxxxx\r\n'
    yield from _repeat(chunk, len(chunk) * _SHORT_CHUNKS)


def _body_beyond_limit(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(('content-length', str(_LARGE_BODY_BYTES)))
    yield from _repeat(b'x', _SENT_BEYOND_LIMIT_BYTES)


def _chunks_beyond_limit(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(_CHUNKED)
    chunk = f'{_PIECE_BYTES:x}\r\n{"x" * _PIECE_BYTES}\r\n'.encode()
    yield from _repeat(chunk, _SENT_BEYOND_LIMIT_BYTES)


def _short_fields(make_head: _HeadMaker) -> Iterator[bytes]:
    fields = [('a', '')] * _SHORT_FIELDS
    yield make_head(('content-length', '100'), *fields) + b'x' * 90


def _prompt_parts(make_head: _HeadMaker) -> Iterator[bytes]:
    parts = ','.join(f'{i % 10}:1' for i in range(_PROMPT_PARTS))
    yield make_head(('pollenthread-prompt-prefix', parts),
                    ('content-length', '0'))


def _chunk_extensions(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(_CHUNKED)
    extensions = b';a=b' * _SHORT_FIELDS
    for _ in range(100):
        yield b'1' + extensions + b'\r\nx\r\n'
    yield b'1' + extensions


def _trailers(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(_CHUNKED)
    yield b'0\r\n' + b'a:\r\n' * _SHORT_FIELDS


def _requests_ahead(make_head: _HeadMaker) -> Iterator[bytes]:
    request = make_head(('content-length', '0'))
    yield from _repeat(request, len(request) * _REQUESTS_AHEAD)


def _part_of_head(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(('content-length', '0'))[:20]


def _part_of_body(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(('content-length', str(_BODY_BYTES))) + b'x'


def _half_of_body(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(('content-length', str(_BODY_BYTES)))
    yield from _repeat(b'x', _BODY_BYTES // 2)


def _nothing(_: _HeadMaker) -> Iterator[bytes]:
    yield b''


def _one_request(make_head: _HeadMaker) -> Iterator[bytes]:
    yield make_head(('content-length', '0'))


@dataclasses.dataclass(frozen=True)
class _Kind:
    """A kind of crowd; see `crowd.Pattern`."""

    name: str
    clients: int
    pieces: Callable[[_HeadMaker], Iterable[bytes]]
    reads: bool = True
    leaves: bool = False

    def pattern(self, make_head: _HeadMaker) -> crowd.Pattern:
        """Returns the pattern with the heads of a place."""
        return crowd.Pattern(self.clients, lambda: self.pieces(make_head),
                             self.reads, self.leaves)


_KIND_BY_NAME = {
    kind.name: kind for kind in (
        _Kind('send bodies in one piece', 60, _body_in_one_piece),
        _Kind('send bodies in small pieces', 60, _body_in_small_pieces),
        _Kind('send bodies in chunks', 60, _body_in_chunks),
        _Kind('send bodies in short chunks', 60, _body_in_short_chunks),
        _Kind('send bodies beyond the limit', 30, _body_beyond_limit),
        _Kind('send chunks beyond the limit', 30, _chunks_beyond_limit),
        _Kind('send short header fields', 130, _short_fields),
        _Kind('send many parts of a prompt', 100, _prompt_parts),
        _Kind('send chunk extensions', 100, _chunk_extensions),
        _Kind('send short trailer fields', 100, _trailers),
        _Kind('send requests ahead', 100, _requests_ahead, reads=False),
        _Kind('send a part of a head', 250, _part_of_head),
        _Kind('send a part of a body', 250, _part_of_body),
        _Kind('send nothing', 250, _nothing),
        _Kind('leave within the body', 100, _half_of_body, leaves=True),
        _Kind('read nothing', 60, _one_request, reads=False),
    )
}


@given('a site whose hosts have {memory:d} MB of memory and {descriptors:d} '
       'descriptors')
def step_site(context: Any, memory: int, descriptors: int) -> None:
    context.memory_mb = memory
    # The platform keeps 200 descriptors for files.
    context.max_sockets = descriptors - 200
    limits = {'memory_mb': memory, 'max_fds': descriptors}
    context.site = scenario.run(
        context,
        context.stack.enter_async_context(
            platform_site.PlatformSite(entries=1, servers=1, limits=limits)))
    scenario.run(context, context.site.start_agent(1))
    scenario.run(context, scenario.eventually(lambda: _is_agent_up(context)))


async def _is_agent_up(context: Any) -> bool:
    status, _ = await context.site.call(context.site.agent_address(1), 'GET',
                                        '/metrics')
    return bool(status == 200)


@given('servers that take their time')
def step_slow_servers(context: Any) -> None:
    scenario.run(context, context.site.fault('server-1',
                                             delay_s=_SLOW_SERVER_S))


@when('a crowd of clients at "{place}" would "{kind}"')
def step_crowd(context: Any, place: str, kind: str) -> None:
    context.place = _PLACE_BY_NAME[place]
    site = context.site
    children = (site.child_by_agent
                if context.place.is_agent else site.child_by_entry)
    context.child, = children.values()

    def make_head(*headers: tuple[str, str]) -> bytes:
        head: bytes = site.raw_head(context.place.target, *headers)
        return head

    clients = context.stack.enter_context(
        crowd.Crowd(address=context.place.address(site),
                    pid=context.child.pid,
                    pattern=_KIND_BY_NAME[kind].pattern(make_head)))
    scenario.run(context, clients.act(), _STEP_TIMEOUT_S)
    context.most_sockets = clients.most_sockets


async def _is_served(context: Any) -> bool:
    site = context.site
    if context.place.is_agent:
        return await _is_agent_up(context)
    if not await site.is_ready(1) or not await site.directory(1):
        return False
    status, _ = await site.request(1, '/pay/x', request_id='ordinary')
    return bool(status == 200)


@then('an ordinary request is answered while the crowd is there')
def step_ordinary(context: Any) -> None:
    scenario.run(context, context.site.fault('server-1'))
    scenario.run(
        context,
        scenario.eventually(lambda: _is_served(context), _STEP_TIMEOUT_S),
        _STEP_TIMEOUT_S)


@then('the process lives within its memory and descriptors')
def step_within_limits(context: Any) -> None:
    scenario.run(context, asyncio.sleep(0))
    assert context.child.returncode is None, context.child.returncode
    usage = crowd.read_usage(context.child.pid)
    sockets = max(context.most_sockets, usage.sockets)
    print(f'peak {usage.peak_memory_mib:.0f} MiB, {sockets} sockets')
    assert usage.peak_memory_mib <= context.memory_mb, usage
    assert sockets <= context.max_sockets, sockets
