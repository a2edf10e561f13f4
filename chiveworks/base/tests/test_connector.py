"""Tests that an abandoned attempt to connect does not close another connection."""

import asyncio
import gc
import os
import socket

import aiohttp
import pytest
import uvloop

from chiveworks.base._connector import LoopConnector

#: Sockets that are opened after the attempt; they get the descriptors that it closed.
LATER_SOCKETS = 20


async def _request(port):
    async with aiohttp.ClientSession(connector=LoopConnector()) as session:
        await session.get(f'http://127.0.0.1:{port}/')


async def _abandon_request(iterations):
    loop = asyncio.get_running_loop()
    server = await loop.create_server(asyncio.Protocol, '127.0.0.1', 0)
    request = asyncio.create_task(_request(server.sockets[0].getsockname()[1]))
    for _ in range(iterations):
        await asyncio.sleep(0)
    request.cancel()
    with pytest.raises(asyncio.CancelledError) as cancellation:
        await request
    # Lets closed transports release their descriptors.
    await asyncio.sleep(0.02)
    sockets = [socket.socket() for _ in range(LATER_SOCKETS)]
    # The traceback refers to everything that the request left behind.
    del cancellation, request
    gc.collect()
    server.close()
    return sockets


@pytest.mark.parametrize('iterations', range(1, 25))
def test_descriptors_are_closed_once(iterations):
    """Guards against a connection that is cut, or whose bytes go elsewhere, since an
    abandoned connect closed its descriptor a second time."""
    gc.disable()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            for opened in runner.run(_abandon_request(iterations)):
                os.fstat(opened.fileno())
                opened.close()
    finally:
        gc.enable()
