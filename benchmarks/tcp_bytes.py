"""Bytes that TCP connections have carried, from the kernel's counters.

The counters are those of `struct tcp_info` (`linux/tcp.h`): acknowledged bytes sent
and bytes received, payload only. A process reads its own sockets by `getsockopt`;
those of other processes come from the kernel's socket diagnosis (`linux/inet_diag.h`)
over a netlink socket, which needs no further tool.
"""

import os
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass

import aiohttp

_TCP_INFO = 11
_INFO_BYTES = 256
_ACKED_RECEIVED = struct.Struct('=QQ')
_ACKED_OFFSET = 120
_SOCK_DIAG_BY_FAMILY = 20
_REQUEST_DUMP = 0x301
_INET_DIAG_INFO = 2
_ALL_STATES = 0xFFFFFFFF
_NETLINK_SOCK_DIAG = 4
_NLMSG_DONE = 3
_NLMSG_ERROR = 2
_HEADER = struct.Struct('=IHHII')
_ATTRIBUTE = struct.Struct('=HH')
_ID = struct.Struct('>HH')
#: Bytes of `struct inet_diag_msg`, and of its fields before the inode.
_MESSAGE_BYTES = 72
_INODE_OFFSET = 68
_RECEIVE_BYTES = 1 << 20


@dataclass(frozen=True)
class Connection:
    """A TCP connection as one of its two ends sees it."""

    inode: int
    local_port: int
    remote_port: int
    sent_bytes: int
    received_bytes: int


def transport_bytes(connector: aiohttp.TCPConnector) -> tuple[int, int]:
    """Returns bytes sent and received on the idle connections of a connector."""
    sent = received = 0
    for pooled in connector._conns.values():  # noqa: SLF001
        for protocol, _ in pooled:
            opened = protocol.transport.get_extra_info('socket')
            info = opened.getsockopt(socket.IPPROTO_TCP, _TCP_INFO, _INFO_BYTES)
            counts = _ACKED_RECEIVED.unpack_from(info, _ACKED_OFFSET)
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
    # gRPC's sockets are IPv6 ones with mapped IPv4 addresses.
    yield from _connections_in(socket.AF_INET)
    yield from _connections_in(socket.AF_INET6)


def _connections_in(family: int) -> Iterator[Connection]:
    extensions = 1 << (_INET_DIAG_INFO - 1)
    query = struct.pack(
        '=BBBBI48x', family, socket.IPPROTO_TCP, extensions, 0, _ALL_STATES
    )
    length = _HEADER.size + len(query)
    header = _HEADER.pack(length, _SOCK_DIAG_BY_FAMILY, _REQUEST_DUMP, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as diag:
        diag.send(header + query)
        while True:
            answer = diag.recv(_RECEIVE_BYTES)
            while answer:
                length, kind, *_ = _HEADER.unpack_from(answer)
                if kind == _NLMSG_DONE:
                    return
                if kind == _NLMSG_ERROR:
                    raise OSError('the kernel refused the socket diagnosis')
                yield _parse(answer[_HEADER.size : length])
                answer = answer[length:]


def _parse(message: bytes) -> Connection:
    local_port, remote_port = _ID.unpack_from(message, 4)
    (inode,) = struct.unpack_from('=I', message, _INODE_OFFSET)
    counts = (0, 0)
    offset = _MESSAGE_BYTES
    while offset < len(message):
        length, kind = _ATTRIBUTE.unpack_from(message, offset)
        if kind == _INET_DIAG_INFO:
            counts = _ACKED_RECEIVED.unpack_from(
                message, offset + _ATTRIBUTE.size + _ACKED_OFFSET
            )
        offset += (length + 3) // 4 * 4
    return Connection(inode, local_port, remote_port, *counts)
