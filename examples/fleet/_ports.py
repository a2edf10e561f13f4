"""Finds free TCP ports on the loopback address."""

import socket
from contextlib import ExitStack

LOOPBACK = '127.0.0.1'


def free_ports(count: int) -> list[int]:
    """Returns distinct ports that are free now; another process may take them."""
    with ExitStack() as stack:
        ports = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind((LOOPBACK, 0))
            ports.append(int(listener.getsockname()[1]))
        return ports
