"""TCP relay whose connections can be cut or made silent."""

import asyncio
from datetime import timedelta

from chiveworks.base import Clock
from standins.link._connection import LinkConnection
from standins.link._mode import LinkMode

_REFUSING_MODES = frozenset((LinkMode.REFUSE, LinkMode.CUT))


class Link:
    """Listens on one port and relays to a target.

    Attributes:
        delay: Delay of each chunk; applies to connections opened after a change.
    """

    def __init__(
        self, clock: Clock, host: str, port: int, target: tuple[str, int]
    ) -> None:
        self.delay = timedelta(0)
        self._clock = clock
        self._host = host
        self._port = port
        self._target = target
        self._mode = LinkMode.PASS
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], LinkConnection] = {}

    async def change_mode(self, mode: LinkMode) -> None:
        """Changes the mode, for open and for new connections."""
        self._mode = mode
        if mode is LinkMode.CUT:
            for cut in self._connections.values():
                cut.abort()
        if mode is LinkMode.SILENT_ESTABLISHED:
            for silenced in self._connections.values():
                silenced.silent = True
        if mode in _REFUSING_MODES:
            self._stop_listening()
        elif self._server is None:
            await self.open()

    async def open(self) -> int:
        """Starts listening and returns the port."""
        self._server = await asyncio.start_server(
            self._relay, self._host, self._port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        return self._port

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._stop_listening()
        open_tasks = list(self._connections)
        for task in open_tasks:
            task.cancel()
        await asyncio.gather(*open_tasks, return_exceptions=True)

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        silent = self._mode is LinkMode.ACCEPT_AND_IGNORE
        connection = LinkConnection(reader, writer, self._clock, silent=silent)
        task = asyncio.ensure_future(connection.run(*self._target, self.delay))
        self._connections[task] = connection
        try:
            await task
        finally:
            self._connections.pop(task)
