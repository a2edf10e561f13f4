"""Tests that each link fault affects only the connections it is meant for."""

import asyncio

import pytest

from chiveworks.base import SystemClock
from standins.link import Link, LinkMode

HOST = '127.0.0.1'


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@pytest.fixture
async def link():
    async with await asyncio.start_server(echo, HOST, 0) as server:
        target = server.sockets[0].getsockname()[:2]
        relay = Link(SystemClock(), HOST, 0, target)
        yield LinkHarness(relay, await relay.open())
        await relay.close()


class Client:
    def __init__(self, streams):
        self.reader, self.writer = streams

    async def gets_echo(self):
        self.writer.write(b'x')
        try:
            return await asyncio.wait_for(self.reader.read(1), 0.2) == b'x'
        except TimeoutError:
            return False


class LinkHarness:
    def __init__(self, relay, port):
        self.change_mode = relay.change_mode
        self.port = port


async def connect(link):
    return Client(await asyncio.open_connection(HOST, link.port))


async def test_silenced_connections_stay_silent_and_new_ones_work(link):
    old = await connect(link)
    assert await old.gets_echo()
    await link.change_mode(LinkMode.SILENT_ESTABLISHED)
    assert not await old.gets_echo()
    assert await (await connect(link)).gets_echo()
    await link.change_mode(LinkMode.PASS)
    assert not await old.gets_echo()


async def test_refuse_keeps_open_connections_and_cut_resets_them(link):
    old = await connect(link)
    assert await old.gets_echo()
    await link.change_mode(LinkMode.REFUSE)
    assert await old.gets_echo()
    with pytest.raises(ConnectionRefusedError):
        await connect(link)
    await link.change_mode(LinkMode.CUT)
    with pytest.raises(ConnectionResetError):
        await old.reader.readexactly(1)
    with pytest.raises(ConnectionRefusedError):
        await connect(link)
    await link.change_mode(LinkMode.PASS)
    assert await (await connect(link)).gets_echo()


async def test_ignored_connection_is_accepted_but_gets_no_response(link):
    old = await connect(link)
    assert await old.gets_echo()
    await link.change_mode(LinkMode.ACCEPT_AND_IGNORE)
    ignored = await connect(link)
    assert not await ignored.gets_echo()
    assert await old.gets_echo()
    await link.change_mode(LinkMode.PASS)
    assert not await ignored.gets_echo()
