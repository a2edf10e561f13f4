"""Tests that an abandoned attempt to connect does not close another connection."""

import asyncio
import gc
import os
import socket
from datetime import timedelta

import pytest
import uvloop

from chiveworks.base import Step
from chiveworks.platform._channel import Channel

#: Sockets that are opened after the attempt; they get the descriptors that it closed.
LATER_SOCKETS = 20


async def _abandon_call(iterations):
    """Cancels a call after some iterations of the event loop; returns new sockets."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(asyncio.Protocol, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    channel = Channel(f'127.0.0.1:{port}', timedelta(seconds=5))
    call = asyncio.create_task(channel.call('GET', '/', Step.STORE_READ, writes=False))
    for _ in range(iterations):
        await asyncio.sleep(0)
    call.cancel()
    with pytest.raises(asyncio.CancelledError) as cancellation:
        await call
    # Lets closed transports release their descriptors.
    await asyncio.sleep(0.02)
    sockets = [socket.socket() for _ in range(LATER_SOCKETS)]
    # The traceback refers to everything that the call left behind.
    del cancellation, call
    gc.collect()
    await channel.close()
    server.close()
    return sockets


@pytest.mark.parametrize('iterations', range(1, 25))
def test_descriptors_are_closed_once(iterations):
    """Guards against a connection to another worker that is cut, or whose bytes go
    elsewhere, since an abandoned connect closed its descriptor a second time."""
    gc.disable()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            sockets = runner.run(_abandon_call(iterations))
            for opened in sockets:
                os.fstat(opened.fileno())
                opened.close()
    finally:
        gc.enable()
