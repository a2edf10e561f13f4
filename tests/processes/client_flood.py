"""Clients that are not under the operators' control, for tests on loopback addresses."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tests.processes.platform_process import FRONT_PORT

#: `max_body_bytes` of the default configuration.
BODY_BYTES = 262_144
MISSING_BYTES = 16
FAR_TOO_LARGE_BYTES = 16 * 1024 * 1024
PART_BYTES = 8192
#: Chunks of one byte: the size, the byte, and two line ends.
ONE_BYTE_CHUNK = b'1\r\n \r\n'
ONE_BYTE_CHUNKS = 256_000
#: Time after which a client stops sending; the server may read nothing from it.
SEND_LIMIT_S = 20
CONNECT_LIMIT_S = 10
PIPELINED_REQUESTS = 20_000


@dataclass(frozen=True)
class Form:
    """What one client of a flood sends.

    Attributes:
        name: Name in the output of the tests.
        parts: Returns the parts that a client sends, given the path of a job.
        pause_s: Pause after each part.
        reads: Whether the client reads what it gets.
    """

    name: str
    parts: Callable[[str], Iterator[bytes]]
    pause_s: float = 0
    reads: bool = True


def head(path, *fields):
    lines = (f'POST {path} HTTP/1.1', 'Host: clients.example', *fields, '', '')
    return '\r\n'.join(lines).encode()


def legal_size(path):
    yield head(path, f'Content-Length: {BODY_BYTES}') + b' ' * (
        BODY_BYTES - MISSING_BYTES
    )


def legal_size_in_pieces(path):
    yield head(path, f'Content-Length: {BODY_BYTES}')
    for _ in range(BODY_BYTES // PART_BYTES - 1):
        yield b' ' * PART_BYTES
    yield b' ' * (PART_BYTES - MISSING_BYTES)


def one_large_chunk(path):
    yield head(path, 'Transfer-Encoding: chunked') + b'%x\r\n' % BODY_BYTES
    yield b' ' * (BODY_BYTES - MISSING_BYTES)


def one_byte_chunks(path):
    yield head(path, 'Transfer-Encoding: chunked')
    chunks = ONE_BYTE_CHUNK * 1000
    for _ in range(ONE_BYTE_CHUNKS // 1000):
        yield chunks


def far_too_large_declared(path):
    yield head(path, f'Content-Length: {FAR_TOO_LARGE_BYTES}')
    part = b' ' * 65_536
    for _ in range(FAR_TOO_LARGE_BYTES // len(part)):
        yield part


def far_too_large_chunked(path):
    yield head(path, 'Transfer-Encoding: chunked')
    chunk = b'10000\r\n' + b' ' * 65_536 + b'\r\n'
    for _ in range(FAR_TOO_LARGE_BYTES // 65_536):
        yield chunk


def slow_headers(path):
    yield b'POST %b HTTP/1.1\r\nHost: clients.example\r\n' % path.encode()
    for number in range(60):
        yield b'X-%d: x\r\n' % number


def no_request(_path):
    yield b''


def pipelined_questions(path):
    question = b'GET %b HTTP/1.1\r\nHost: clients.example\r\n\r\n' % path.encode()
    for _ in range(PIPELINED_REQUESTS // 100):
        yield question * 100


def pipelined_bodies(path):
    # Each body is smaller than what a server may buffer without a pause.
    body = b' ' * 60_000
    for _ in range(64):
        yield head(path, f'Content-Length: {len(body)}') + body


LEGAL_SIZE = Form('legal size, 16 bytes short', legal_size)
PIECES = Form('legal size in pieces', legal_size_in_pieces, pause_s=0.01)
LARGE_CHUNK = Form('one large chunk, short', one_large_chunk)
SMALL_CHUNKS = Form('chunks of one byte', one_byte_chunks)
DECLARED = Form('16 MiB declared', far_too_large_declared, reads=False)
CHUNKED = Form('16 MiB chunked', far_too_large_chunked, reads=False)
SLOW_HEADERS = Form('slow headers', slow_headers, pause_s=0.1)
IDLE = Form('idle', no_request)
PIPELINED = Form('pipelined requests, answers unread', pipelined_questions, reads=False)
PIPELINED_BODIES = Form('pipelined bodies', pipelined_bodies, reads=False)


class ClientFlood:
    """Connections that send their form and then stay open until the flood is released.

    Args:
        host: Address of the process under test.
        forms: The form of each connection.
        port: Port of the listener.
    """

    def __init__(self, host, forms, port=FRONT_PORT):
        self._host = host
        self._port = port
        self._forms = forms
        self._release = asyncio.Event()
        self._sent = asyncio.Semaphore(0)
        self._tasks = []

    async def start(self, paths):
        """Opens all connections; returns once each has sent what it can."""
        self._tasks = [
            asyncio.create_task(self._run(form, path))
            for form, path in zip(self._forms, paths, strict=True)
        ]
        for _ in self._tasks:
            await self._sent.acquire()

    async def stop(self):
        """Closes all connections."""
        self._release.set()
        await asyncio.gather(*self._tasks)

    async def _run(self, form, path):
        writer = None
        try:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(CONNECT_LIMIT_S):
                    reader, writer = await asyncio.open_connection(
                        self._host, self._port
                    )
                if not form.reads:
                    writer.transport.pause_reading()
                async with asyncio.timeout(SEND_LIMIT_S):
                    for part in form.parts(path):
                        writer.write(part)
                        await writer.drain()
                        await asyncio.sleep(form.pause_s)
        finally:
            self._sent.release()
        await self._release.wait()
        if writer is not None:
            writer.transport.abort()
