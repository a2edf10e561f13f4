"""Memory and time of requests whose clients misbehave at the end of a request."""

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
from chiveworks.guard._connection_phase import ConnectionPhase
from chiveworks.intake import IntakeLimits

LIMITS = IntakeLimits(body_bytes=100_000, idle_timeout=timedelta(seconds=2))
BUDGET = ClientBudget(connections=8, body_bytes=1_000_000)
READ_LIMIT_S = 5
POST = b'POST /p HTTP/1.1\r\nHost: h\r\n'
GET = b'GET /p HTTP/1.1\r\nHost: h\r\n'


class HeldHandler:
    """Reads each body and answers once it is released."""

    def __init__(self):
        self.response_bytes = 1_000_000
        self.reading_done = asyncio.Event()
        self.released = asyncio.Event()

    async def handle(self, request):
        body = await read_body(request)
        if isinstance(body, BodyRefusal):
            return web.Response(status=body.status, text=body.message)
        self.reading_done.set()
        await self.released.wait()
        return web.Response(body=b' ' * self.response_bytes)


@pytest.fixture
async def handler():
    return HeldHandler()


@pytest.fixture
async def server(handler):
    """Yields a server, its port and the stack that stops it."""
    guarded = GuardedServer(
        handler.handle, BUDGET, lambda: LIMITS, SystemClock(), TurnAwayCounts()
    )
    async with AsyncExitStack() as stack:
        port = await listen(guarded, ('127.0.0.1', 0), 16, stack)
        yield guarded, port, stack
        handler.released.set()
        for connection in guarded.connections:
            connection.force_close()


async def wait_until(condition):
    async with asyncio.timeout(READ_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def test_memory_of_a_request_is_charged_after_its_client_has_left(
    server, handler
):
    """Guards against clients that leave while their jobs are stored, without bound."""
    guarded, port, _ = server
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(POST + b'Content-Length: 50000\r\n\r\n' + b' ' * 50_000)
    await handler.reading_done.wait()
    writer.transport.abort()
    await asyncio.sleep(0.1)
    assert guarded.guard.held_bytes >= 50_000
    handler.released.set()
    await wait_until(lambda: not guarded.guard.held_bytes)
    assert not guarded.guard.connections


async def test_trailers_of_a_chunked_body_are_bounded(server):
    """Guards against trailer fields, which are kept until the end of the body."""
    _, port, _ = server
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(POST + b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n')
    for _ in range(100):
        writer.write(b'X: ' + b'y' * 10_000 + b'\r\n')
        await asyncio.sleep(0.001)
    async with asyncio.timeout(READ_LIMIT_S):
        assert (await reader.read(20)).startswith(b'HTTP/1.1 431')


async def test_header_fields_behind_a_served_request_are_bounded(server, handler):
    """Guards against header sections that grow while an earlier request is served."""
    _, port, _ = server
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(POST + b'Content-Length: 1\r\n\r\nx')
    await handler.reading_done.wait()
    writer.write(GET)
    for _ in range(10):
        writer.write(b'X: ' + b'y' * 10_000 + b'\r\n')
        await asyncio.sleep(0.001)
    writer.write(b'\r\n')
    await asyncio.sleep(0.1)
    handler.released.set()
    async with asyncio.timeout(READ_LIMIT_S):
        answer = await reader.read()
    assert answer.count(b'HTTP/1.1 200') == 1


async def test_unread_responses_do_not_delay_a_planned_stop(server, handler):
    """Guards against a stop that is cut short since clients read no responses."""
    _, port, stack = server
    handler.released.set()
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.transport.pause_reading()
    writer.write(GET + b'\r\n')
    await asyncio.sleep(0.2)
    async with asyncio.timeout(READ_LIMIT_S):
        await stack.aclose()


async def test_a_body_expected_after_the_stop_has_begun_is_refused(server):
    """Guards against a stop that waits for the body of the last request."""
    guarded, port, stack = server
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    await wait_until(lambda: guarded.guard.connections)
    (connection,) = guarded.connections
    begin_stop = guarded.pre_shutdown

    def receive_and_begin_stop():
        connection.data_received(POST + b'Content-Length: 9\r\n\r\n12')
        begin_stop()

    guarded.pre_shutdown = receive_and_begin_stop
    async with asyncio.timeout(READ_LIMIT_S):
        await stack.aclose()


async def test_a_refusal_at_the_end_of_a_chunk_ends_the_wait_for_the_body(server):
    """Guards against an unlimited wait: a chunk's end wakes the reader without data."""
    guarded, port, _ = server
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(POST + b'Transfer-Encoding: chunked\r\n\r\n1\r\nx')
    await wait_until(lambda: guarded.guard.held_bytes)
    (connection,) = guarded.connections
    connection.data_received(b'\r\n')
    (refused,) = guarded.guard.refuse_unfinished(guarded.now())
    refused.drop(TurnAwayReason.STALLED)
    async with asyncio.timeout(READ_LIMIT_S):
        assert (await reader.read(20)).startswith(b'HTTP/1.1 503')


async def test_an_interim_response_that_is_not_read_is_subject_to_the_timeout(
    server, handler
):
    """Guards against connections that count as being served without end."""
    guarded, port, _ = server
    handler.response_bytes = 3
    handler.released.set()
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    await wait_until(lambda: guarded.guard.connections)
    (connection,) = guarded.connections
    # The interim response exceeds what the process may hold for the client.
    expect = b'Expect: 100-continue\r\nContent-Length: 1\r\n\r\n'
    writer.write(POST + expect)
    await wait_until(lambda: guarded.guard.phase(connection) is ConnectionPhase.BODY)
    connection.pause_writing()
    connection.data_received(b'x')
    await handler.reading_done.wait()
    await asyncio.sleep(0.05)
    assert guarded.guard.phase(connection) is ConnectionPhase.RESPONSE
    connection.resume_writing()
