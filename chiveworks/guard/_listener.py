"""Listening sockets of guarded servers."""

import asyncio
import socket
from contextlib import AsyncExitStack
from typing import Final

from aiohttp import web

from chiveworks.base import cancel_all
from chiveworks.guard._guarded_server import GuardedServer

#: Receive buffer of a connection, inherited from the listening socket. The kernel
#: doubles it. Received but unread bytes count as memory of the process.
RECEIVE_BUFFER_BYTES: Final = 16_384
#: Send buffer of a connection, which the kernel also doubles.
SEND_BUFFER_BYTES: Final = 65_536


async def listen(
    server: GuardedServer, address: tuple[str, int], backlog: int, stack: AsyncExitStack
) -> int:
    """Serves on an address until `stack` is closed; returns the port.

    Raises:
        OSError: The address cannot be bound.
    """
    runner = web.ServerRunner(server)
    await runner.setup()
    sweep = asyncio.create_task(server.close_late_connections())
    # Ends after the runner's stop, which may wait for clients that do not read.
    stack.push_async_callback(cancel_all, [sweep])
    stack.push_async_callback(runner.cleanup)
    listener = await _bind(address)
    await web.SockSite(runner, listener, backlog=backlog).start()
    return int(listener.getsockname()[1])


async def _bind(address: tuple[str, int]) -> socket.socket:
    host, port = address
    found = await asyncio.get_running_loop().getaddrinfo(
        host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )
    family, kind, protocol, _, bound = found[0]
    listener = socket.socket(family, kind, protocol)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.bind(bound)
    except BaseException:
        listener.close()
        raise
    return listener
