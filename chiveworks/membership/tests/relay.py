"""TCP relay that counts bytes and can abort connections or drop their data."""

import asyncio
from contextlib import suppress


class Relay:
    """Listens on a port of 127.0.0.1 and forwards connections to `target`."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.bytes = 0
        self.segments = 0
        self.connections = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self.cut()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self):
        """Aborts all open connections."""
        for writer in self._writers:
            writer.transport.abort()

    def silence(self):
        """Drops all further data on the open connections; new ones work."""
        self._silent |= self._writers

    async def _accept(self, reader, writer):
        self.connections += 1
        host, port = self._target.split(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, far_writer}
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.ensure_future(self._copy(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(self, source, sink):
        with suppress(ConnectionError):
            while chunk := await source.read(1 << 16):
                self.bytes += len(chunk)
                self.segments += 1
                if sink not in self._silent:
                    sink.write(chunk)
                    await sink.drain()
        if sink not in self._silent:
            sink.close()
        self._writers.discard(sink)
