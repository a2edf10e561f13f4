"""A relayed TCP connection."""

import asyncio
import socket
import struct
from contextlib import suppress
from datetime import timedelta

from chiveworks.base import Clock

_CHUNK_BYTES = 65_536
#: SO_LINGER with a timeout of 0 s: closing the socket sends RST instead of FIN.
_LINGER_ZERO = struct.pack('ii', 1, 0)


class LinkConnection:
    """Copies data in both directions until both sides have closed.

    Attributes:
        silent: Whether data is read and discarded. Never reset once set.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: Clock,
        *,
        silent: bool,
    ) -> None:
        self.silent = silent
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._target: asyncio.StreamWriter | None = None

    async def run(self, host: str, port: int, delay: timedelta) -> None:
        """Relays to the target, delaying each chunk by `delay`."""
        try:
            if self.silent:
                # Only reads and discards: `_copy` does not write while silent.
                await self._copy(self._reader, self._writer, delay)
                return
            reader, target = await asyncio.open_connection(host, port)
            self._target = target
            await asyncio.gather(
                self._copy(self._reader, target, delay),
                self._copy(reader, self._writer, delay),
            )
        except OSError:
            self.abort()
        finally:
            self._close()

    def abort(self) -> None:
        """Resets the connections to both sides."""
        for writer in (self._writer, self._target):
            if writer is not None:
                connection = writer.get_extra_info('socket')
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
                writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        delay: timedelta,
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            if delay:
                await self._clock.sleep(delay)
            if not self.silent:
                writer.write(chunk)
                await writer.drain()
        if not self.silent:
            with suppress(OSError, RuntimeError):
                writer.write_eof()

    def _close(self) -> None:
        for writer in (self._writer, self._target):
            if writer is not None:
                writer.close()
