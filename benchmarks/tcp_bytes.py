"""Reads the byte counters that the kernel keeps for TCP connections.

The counters are those of `struct tcp_info` (`linux/tcp.h`): bytes sent and
acknowledged, and bytes received, both without headers. A process reads the counters
of its own sockets with `getsockopt`. Those of other processes are read through the
`sock_diag` interface of the kernel (`linux/inet_diag.h`) over a netlink socket, so
that no external tool is needed.
"""

import os
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass

import aiohttp

_TCP_INFO = 11
_TCP_INFO_SIZE = 256
_BYTE_COUNTERS = struct.Struct('=QQ')
#: Offset of `tcpi_bytes_acked`, which `tcpi_bytes_received` follows.
_BYTE_COUNTERS_OFFSET = 120
_SOCK_DIAG_BY_FAMILY = 20
#: NLM_F_REQUEST | NLM_F_DUMP.
_REQUEST_DUMP = 0x301
_INET_DIAG_INFO = 2
_ALL_STATES = 0xFFFFFFFF
_NETLINK_SOCK_DIAG = 4
_NLMSG_DONE = 3
_NLMSG_ERROR = 2
_HEADER = struct.Struct('=IHHII')
_ATTRIBUTE = struct.Struct('=HH')
_PORTS = struct.Struct('>HH')
#: Size of `struct inet_diag_msg`, and offset of the inode in it.
_MESSAGE_SIZE = 72
_INODE_OFFSET = 68
_RECEIVE_BUFFER_SIZE = 1 << 20


@dataclass(frozen=True)
class Connection:
    """A TCP connection as seen from one of its two ends."""

    inode: int
    local_port: int
    remote_port: int
    sent_bytes: int
    received_bytes: int


def transport_bytes(connector: aiohttp.TCPConnector) -> tuple[int, int]:
    """Returns the bytes sent and received on the idle connections of a connector."""
    sent = received = 0
    for idle_connections in connector._conns.values():  # noqa: SLF001
        for protocol, _ in idle_connections:
            tcp_socket = protocol.transport.get_extra_info('socket')
            info = tcp_socket.getsockopt(socket.IPPROTO_TCP, _TCP_INFO, _TCP_INFO_SIZE)
            counts = _BYTE_COUNTERS.unpack_from(info, _BYTE_COUNTERS_OFFSET)
            sent += counts[0]
            received += counts[1]
    return sent, received


def connections_of(pid: int) -> dict[int, Connection]:
    """Returns the TCP connections of a process by inode."""
    inodes = _socket_inodes(pid)
    return {found.inode: found for found in _all_connections() if found.inode in inodes}


def _socket_inodes(pid: int) -> set[int]:
    found = set()
    for number in os.listdir(f'/proc/{pid}/fd'):
        try:
            target = os.readlink(f'/proc/{pid}/fd/{number}')
        except FileNotFoundError:
            continue
        if target.startswith('socket:['):
            found.add(int(target[len('socket:[') : -1]))
    return found


def _all_connections() -> Iterator[Connection]:
    # gRPC uses IPv6 sockets with IPv4-mapped addresses.
    yield from _connections_in(socket.AF_INET)
    yield from _connections_in(socket.AF_INET6)


def _connections_in(family: int) -> Iterator[Connection]:
    extensions = 1 << (_INET_DIAG_INFO - 1)
    query = struct.pack(
        '=BBBBI48x', family, socket.IPPROTO_TCP, extensions, 0, _ALL_STATES
    )
    length = _HEADER.size + len(query)
    header = _HEADER.pack(length, _SOCK_DIAG_BY_FAMILY, _REQUEST_DUMP, 1, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as netlink_socket:
        netlink_socket.send(header + query)
        while True:
            response = netlink_socket.recv(_RECEIVE_BUFFER_SIZE)
            while response:
                length, kind, *_ = _HEADER.unpack_from(response)
                if kind == _NLMSG_DONE:
                    return
                if kind == _NLMSG_ERROR:
                    raise OSError('the kernel rejected the sock_diag request')
                yield _parse_connection(response[_HEADER.size : length])
                response = response[length:]


def _parse_connection(message: bytes) -> Connection:
    local_port, remote_port = _PORTS.unpack_from(message, 4)
    (inode,) = struct.unpack_from('=I', message, _INODE_OFFSET)
    counts = (0, 0)
    offset = _MESSAGE_SIZE
    while offset < len(message):
        length, kind = _ATTRIBUTE.unpack_from(message, offset)
        if kind == _INET_DIAG_INFO:
            counts = _BYTE_COUNTERS.unpack_from(
                message, offset + _ATTRIBUTE.size + _BYTE_COUNTERS_OFFSET
            )
        offset += (length + 3) // 4 * 4
    return Connection(inode, local_port, remote_port, *counts)
