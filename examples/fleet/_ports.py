"""Free ports of the loopback address."""

import socket
from contextlib import ExitStack

LOOPBACK = '127.0.0.1'


def free_ports(count: int) -> list[int]:
    """Returns distinct ports that are free at this moment."""
    with ExitStack() as stack:
        ports = []
        for _ in range(count):
            probe = stack.enter_context(socket.socket())
            probe.bind((LOOPBACK, 0))
            ports.append(int(probe.getsockname()[1]))
        return ports
