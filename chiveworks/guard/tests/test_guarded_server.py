"""Connections of clients over real sockets."""

import asyncio
from contextlib import AsyncExitStack
from datetime import timedelta

import pytest
from aiohttp import web

from chiveworks.base import SystemClock
from chiveworks.guard import (
    BodyRefusal,
    ClientBudget,
    GuardedServer,
    TurnAwayCounts,
    TurnAwayReason,
    listen,
    read_body,
)
from chiveworks.intake import IntakeLimits

LIMITS = IntakeLimits(
    body_bytes=100_000,
    header_timeout=timedelta(seconds=0.3),
    idle_timeout=timedelta(seconds=1.5),
)
BUDGET = ClientBudget(connections=4, body_bytes=1_000_000)
READ_LIMIT_S = 10
POST = b'POST /p HTTP/1.1\r\nHost: h\r\n'


async def echo_size(request):
    if request.path == '/unread':
        return web.Response(status=404)
    body = await read_body(request)
    if isinstance(body, BodyRefusal):
        response = web.Response(status=body.status, text=body.message)
        response.force_close()
        return response
    return web.Response(text=f'size={len(body)};')


@pytest.fixture
def budget():
    return BUDGET


@pytest.fixture
async def server(budget):
    """Yields the address and the counts of a server."""
    counts = TurnAwayCounts()
    guarded = GuardedServer(echo_size, budget, lambda: LIMITS, SystemClock(), counts)
    async with AsyncExitStack() as stack:
        port = await listen(guarded, ('127.0.0.1', 0), 16, stack)
        yield ('127.0.0.1', port), counts


async def connect(server, *parts):
    reader, writer = await asyncio.open_connection(*server[0])
    for part in parts:
        writer.write(part)
    return reader, writer


async def read_until(reader, expected):
    async with asyncio.timeout(READ_LIMIT_S):
        return await reader.readuntil(expected)


async def read_all(reader):
    """Reads until the server closes the connection."""
    received = b''
    async with asyncio.timeout(READ_LIMIT_S):
        while True:
            try:
                part = await reader.read(65_536)
            except ConnectionResetError:
                return received
            if not part:
                return received
            received += part


async def test_requests_within_the_limits_share_a_connection(server):
    """Guards against limits that close connections of ordinary clients."""
    reader, writer = await connect(server, POST + b'Content-Length: 3\r\n\r\nabc')
    await read_until(reader, b'size=3;')
    chunked = POST + b'Transfer-Encoding: chunked\r\n\r\n'
    writer.write(chunked + b'1\r\nx\r\n' * 50_000)
    writer.write(b'0\r\n\r\n')
    await read_until(reader, b'size=50000;')
    writer.write((POST + b'Content-Length: 1\r\n\r\nx') * 50)
    for _ in range(50):
        await read_until(reader, b'size=1;')
    writer.write(POST + b'Content-Length: 60000\r\n\r\n')
    for _ in range(6):
        writer.write(b' ' * 10_000)
        await asyncio.sleep(0.01)
    await read_until(reader, b'size=60000;')
    assert not server[1].totals


async def test_http_1_0_is_answered_and_closed(server):
    """Guards against old clients that wait for the end of the connection."""
    request = b'POST /p HTTP/1.0\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc'
    reader, _ = await connect(server, request)
    assert (await read_all(reader)).endswith(b'size=3;')


@pytest.mark.parametrize('expect', [b'', b'Expect: 100-continue\r\n'])
async def test_a_declared_size_above_the_limit_is_refused_at_once(server, expect):
    """Guards against reading a body that is refused anyway."""
    reader, writer = await connect(
        server, POST + expect + b'Content-Length: 16000000\r\n\r\n'
    )
    answer = await read_all(reader)
    assert answer.startswith(b'HTTP/1.1 413') and b'Connection: close' in answer
    assert server[1].totals == {TurnAwayReason.BODY_TOO_LARGE: 1}


async def test_a_client_that_sends_without_heed_gets_the_refusal(server):
    """Guards against a reset that destroys the response, and against endless reading."""
    for framing in (b'Content-Length: 16000000\r\n\r\n', None):
        reader, writer = await connect(server)
        writer.write(POST + (framing or b'Transfer-Encoding: chunked\r\n\r\n'))
        part = b' ' * 50_000
        part = part if framing else b'%x\r\n%b\r\n' % (len(part), part)
        for _ in range(320):
            writer.write(part)
        assert (await read_all(reader)).startswith(b'HTTP/1.1 413')


async def test_a_client_that_asks_first_may_send(server):
    """Guards against clients that wait for the interim response."""
    head = POST + b'Content-Length: 3\r\nExpect: 100-continue\r\n\r\n'
    reader, writer = await connect(server, head)
    await read_until(reader, b'HTTP/1.1 100 Continue\r\n\r\n')
    writer.write(b'abc')
    assert (await read_until(reader, b'size=3;')).startswith(b'HTTP/1.1 200')


async def test_an_unread_body_closes_the_connection_after_the_response(server):
    """Guards against reading on after a request for an unknown path."""
    head = b'POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n'
    reader, _ = await connect(server, head)
    assert (await read_all(reader)).startswith(b'HTTP/1.1 404')


@pytest.mark.parametrize(
    'head',
    [
        b'GET /p HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 17_000,
        b'GET /p HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 17_000 + b'\r\n\r\n',
        b'GET /p HTTP/1.1\r\nHost: h\r\n' + b'X: y\r\n' * 200 + b'\r\n',
        b'GET /p HTTP/1.1\r\nHost: h\r\n' + b'X: %b\r\n' % (b'x' * 700) * 24 + b'\r\n',
        b'GET /' + b'p' * 17_000 + b' HTTP/1.1\r\n\r\n',
    ],
)
async def test_large_headers_get_431(server, head):
    """Guards against header sections that use much memory."""
    reader, _ = await connect(server, head)
    assert (await read_all(reader)).split()[1] == b'431'
    assert server[1].totals == {TurnAwayReason.HEADER_TOO_LARGE: 1}


async def test_headers_below_the_limit_are_accepted(server):
    """Guards against a limit of the library below that of the configuration."""
    reader, _ = await connect(
        server, b'GET /p HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 15_000 + b'\r\n\r\n'
    )
    assert (await read_until(reader, b'size=0;')).startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize(
    ('sent', 'reason'),
    [
        (POST, TurnAwayReason.HEADER_TIMEOUT),
        (b'', TurnAwayReason.IDLE_TIMEOUT),
        (POST + b'Content-Length: 9\r\n\r\n12345678', TurnAwayReason.BODY_TIMEOUT),
    ],
)
async def test_connections_without_progress_are_closed(server, sent, reason):
    """Guards against clients that keep connections open without a request."""
    reader, _ = await connect(server, sent)
    answer = await read_all(reader)
    assert server[1].totals == {reason: 1}
    assert answer.startswith(b'HTTP/1.1 408') == (reason is TurnAwayReason.BODY_TIMEOUT)


async def test_a_stalled_request_makes_way_for_a_new_client(server):
    """Guards against a slow-loris that keeps others from being served."""
    stalled = POST + b'Content-Length: 100000\r\n\r\n' + b' ' * 99_984
    held = [await connect(server, stalled) for _ in range(2)]
    held += [await connect(server) for _ in range(2)]
    await asyncio.sleep(1.1)
    reader, _ = await connect(server, POST + b'Content-Length: 3\r\n\r\nabc')
    await read_until(reader, b'size=3;')
    assert server[1].totals == {TurnAwayReason.STALLED: 1}


@pytest.mark.parametrize('budget', [ClientBudget(connections=9, body_bytes=620_000)])
async def test_memory_of_a_stalled_body_goes_to_another_client(server):
    """Guards against a slow-loris that uses up the memory for bodies."""
    stalled = POST + b'Content-Length: 100000\r\n\r\n' + b' ' * 99_984
    held = [await connect(server, stalled) for _ in range(3)]
    await asyncio.sleep(1.1)
    head = POST + b'Content-Length: 100000\r\n\r\n'
    reader, _ = await connect(server, head + b' ' * 100_000)
    await read_until(reader, b'size=100000;')
    answers = [await read_all(client) for client, _ in held[:3]]
    assert sum(answer.startswith(b'HTTP/1.1 503') for answer in answers) >= 1
    assert server[1].totals[TurnAwayReason.STALLED] >= 1


@pytest.mark.parametrize('budget', [ClientBudget(connections=9, body_bytes=150_000)])
async def test_a_body_without_room_is_refused(server):
    """Guards against bodies beyond the memory for them."""
    reader, _ = await connect(
        server, POST + b'Content-Length: 100000\r\n\r\n' + b' ' * 100_000
    )
    assert (await read_all(reader)).startswith(b'HTTP/1.1 503')
    assert server[1].totals == {TurnAwayReason.MEMORY: 1}


async def test_idle_connections_make_way_for_new_clients(server):
    """Guards against idle connections that lock out everyone else."""
    idle = [await connect(server) for _ in range(4)]
    await asyncio.sleep(0.05)
    reader, _ = await connect(server, POST + b'Content-Length: 3\r\n\r\nabc')
    await read_until(reader, b'size=3;')
    assert await read_all(idle[0][0]) == b''
    assert server[1].totals == {TurnAwayReason.IDLE_EVICTED: 1}


@pytest.mark.parametrize(
    'sent',
    [b'nonsense\r\n\r\n', POST + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n'],
)
async def test_malformed_requests_get_400_without_a_stack_trace(server, sent, caplog):
    """Guards against a flood of stack traces in the log."""
    reader, _ = await connect(server, sent)
    assert (await read_all(reader)).split()[1] == b'400'
    assert not caplog.records


async def test_unfinished_bodies_do_not_delay_a_planned_stop():
    """Guards against a stop that is cut short by the platform since clients stall."""
    counts = TurnAwayCounts()
    guarded = GuardedServer(echo_size, BUDGET, lambda: LIMITS, SystemClock(), counts)
    async with AsyncExitStack() as stack:
        port = await listen(guarded, ('127.0.0.1', 0), 16, stack)
        address = (('127.0.0.1', port),)
        reader, _ = await connect(address, POST + b'Content-Length: 9\r\n\r\n12')
        while not guarded.guard.held_bytes:
            await asyncio.sleep(0.01)
        async with asyncio.timeout(READ_LIMIT_S):
            await stack.aclose()
    assert counts.totals == {TurnAwayReason.STOPPING: 1}
    assert (await read_all(reader)).startswith(b'HTTP/1.1 503')


async def test_a_client_that_never_reads_is_disconnected(server):
    """Guards against responses that pile up for clients that do not read them."""
    reader, writer = await connect(server)
    writer.transport.pause_reading()
    try:
        async with asyncio.timeout(READ_LIMIT_S):
            while not server[1].totals:
                writer.write((POST + b'Content-Length: 1\r\n\r\nx') * 1000)
                await writer.drain()
    except (TimeoutError, ConnectionError):
        pass
    assert server[1].totals == {TurnAwayReason.RESPONSE_TIMEOUT: 1}


async def test_a_client_that_leaves_during_its_body_costs_no_stack_trace(
    server, caplog
):
    """Guards against a stack trace for each client when a flood ends."""
    _, writer = await connect(server, POST + b'Content-Length: 9\r\n\r\n12')
    await asyncio.sleep(0.05)
    writer.transport.abort()
    async with asyncio.timeout(READ_LIMIT_S):
        while not server[1].totals:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    assert server[1].totals == {TurnAwayReason.DISCONNECTED: 1}
    assert not caplog.records
