"""Reserves TCP ports on the loopback address."""

import socket
from contextlib import AsyncExitStack, ExitStack

LOOPBACK = '127.0.0.1'


def reserve_ports(count: int, stack: ExitStack | AsyncExitStack) -> list[int]:
    """Reserves distinct ports on this machine until `stack` is closed.

    The kernel gives a reserved port to no other socket, neither to one that is bound
    to any free port nor to an outgoing connection. Only servers that bind it by number
    with SO_REUSEADDR can use it, which asyncio, aiohttp and gRPC set by default.

    Args:
        count: Number of ports.
        stack: Receives the reservations. It must be closed after the programs that
            use the ports have ended.
    """
    return [_reserve_port(stack) for _ in range(count)]


def _reserve_port(stack: ExitStack | AsyncExitStack) -> int:
    # This socket never listens, so it doesn't prevent the server from listening.
    holder = stack.enter_context(socket.socket())
    holder.bind((LOOPBACK, 0))
    # Set only now: the port that is chosen must be in use by no other socket.
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return int(holder.getsockname()[1])
