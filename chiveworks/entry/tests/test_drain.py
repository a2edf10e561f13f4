"""Guards against a graceful shutdown that cuts off a request in progress."""

import asyncio
from datetime import timedelta

import aiohttp
import pytest
from aiohttp import web

from chiveworks.base import ManualClock
from chiveworks.entry import DrainState, run_server


class Server:
    """A server with routes for slow responses, large responses and uploads."""

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.drain = DrainState()
        self.clock = ManualClock()
        self.release_responses = asyncio.Event()
        self.app = web.Application()
        self.app.router.add_get('/slow', self._slow)
        self.app.router.add_get('/large', self._large)
        self.app.router.add_post('/upload', self._upload)
        self.port: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.done = asyncio.ensure_future(
            run_server(
                self.app,
                '127.0.0.1',
                0,
                self.stop,
                drain=self.drain,
                grace=timedelta(seconds=5),
                on_listening=self.port.set_result,
                clock=self.clock,
            )
        )

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection('127.0.0.1', await self.port)

    async def _slow(self, request: web.Request) -> web.Response:
        await self.release_responses.wait()
        return web.Response(text='done')

    async def _large(self, request: web.Request) -> web.Response:
        return web.Response(body=b'z' * 8_000_000)

    async def _upload(self, request: web.Request) -> web.Response:
        return web.Response(text=str(len(await request.read())))


@pytest.fixture
async def server():
    running = Server()
    await running.port
    yield running
    running.stop.set()
    running.release_responses.set()
    await running.clock.advance(timedelta(seconds=10))
    await asyncio.wait_for(running.done, 10)


async def ask(streams, head: bytes) -> None:
    streams[1].write(head + b' HTTP/1.1\r\nHost: h\r\n\r\n')
    await asyncio.sleep(0.02)


async def test_requests_in_progress_are_finished_and_idle_connections_closed(server):
    slow = await server.connect()
    await ask(slow, b'GET /slow')
    upload = await server.connect()
    upload[1].write(b'POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab')
    idle = await server.connect()
    await ask(idle, b'GET /none')
    assert b'404' in await idle[0].readuntil(b'\r\n\r\n')
    await asyncio.sleep(0.02)
    server.stop.set()
    await asyncio.sleep(0.02)
    assert server.drain.is_draining
    assert server.drain.in_progress == 2
    # During the grace period new requests are served, then their connections close.
    late = await server.connect()
    await ask(late, b'POST /upload')
    response = await late[0].read()
    assert b'200 OK' in response
    assert b'Connection: close' in response
    # Further signals must not shorten the shutdown.
    server.stop.set()
    await server.clock.advance(timedelta(seconds=5))
    idle_rest = await asyncio.wait_for(idle[0].read(), 1)
    assert b'Connection: close' not in idle_rest
    with pytest.raises(ConnectionRefusedError):
        await server.connect()
    await asyncio.sleep(0.2)
    assert not server.done.done()
    server.stop.set()
    upload[1].write(b'cd')
    assert (await upload[0].read()).endswith(b'\r\n\r\n4')
    server.release_responses.set()
    assert (await slow[0].read()).endswith(b'\r\n\r\ndone')
    await asyncio.wait_for(server.done, 1)
    for streams in (slow, upload, idle, late):
        streams[1].close()


async def test_response_is_sent_completely_to_a_slow_client(server):
    streams = await server.connect()
    await ask(streams, b'GET /large')
    server.stop.set()
    await server.clock.advance(timedelta(seconds=5))
    await asyncio.sleep(0.2)
    assert not server.done.done()
    response = await streams[0].read()
    assert response.endswith(b'z' * 8_000_000)
    streams[1].close()


async def test_next_response_on_a_keepalive_connection_announces_the_shutdown(server):
    async with aiohttp.ClientSession() as session:
        url = f'http://127.0.0.1:{await server.port}/none'
        async with session.get(url) as response:
            assert 'Connection' not in response.headers
        server.stop.set()
        async with session.get(url) as response:
            assert response.headers['Connection'] == 'close'
