"""Connector of HTTP clients that leaves sockets to the event loop."""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler


class LoopConnector(aiohttp.TCPConnector):
    """Opens connections by address instead of by a connected socket.

    aiohttp connects a socket and then hands it to the event loop. If it gives up in
    between, uvloop closes the descriptor, and the socket object closes it again once it
    is collected. By then it may belong to another connection.
    """

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[Any],
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        host, port = addr_infos[0][-1][:2]
        return await self._wrap_existing_connection(
            *args,
            host,
            port,
            req=req,
            timeout=timeout,
            client_error=client_error,
            **kwargs,
        )
