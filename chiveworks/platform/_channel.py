"""JSON calls to one service of the platform over resettable HTTP connections."""

from datetime import timedelta
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from chiveworks.base import Failure, Step
from chiveworks.base._http_outcome import unusable_response
from chiveworks.platform._fields import parse_json
from chiveworks.platform._http_pool import HttpPool
from chiveworks.platform._peer_check import PeerCheck

#: Default limit of the connections to one address. Each takes a descriptor.
MAX_CONNECTIONS: Final = 256

#: HTTP status and decoded JSON body, None if the body is empty.
Reply = tuple[int, Any]


class Channel:
    """Sends calls with JSON bodies to one address.

    Args:
        address: Host and port.
        timeout: Default timeout of a call.
        headers: Headers added to every call.
        connection_limit: Maximum number of connections; further calls wait for one.
    """

    def __init__(
        self,
        address: str,
        timeout: timedelta,
        headers: dict[str, str] | None = None,
        connection_limit: int = MAX_CONNECTIONS,
    ) -> None:
        self._address = address
        self._timeout = timeout
        self._headers = {'Content-Type': 'application/json', **(headers or {})}
        self._connection_limit = connection_limit
        self._pool = self._open()

    async def call(
        self,
        method: str,
        path: str,
        step: Step,
        *,
        query: dict[str, str] | None = None,
        body: object = None,
        timeout: timedelta | None = None,
        writes: bool = True,
        check: PeerCheck | None = None,
    ) -> Result[Reply, Failure]:
        """Sends one call.

        Args:
            method: HTTP method.
            path: Path of the URL.
            step: Step named by a failure after the connection was made.
            query: Query parameters.
            body: Request body, encoded as JSON.
            timeout: Timeout of this call instead of the default.
            writes: Whether the call may have an effect.
            check: Makes sure that the expected incarnation executes the call.

        Returns:
            The status and the decoded body of the response.
        """
        result = await self._pool.call(
            method,
            path,
            step,
            query=query,
            body=b'' if body is None else orjson.dumps(body),
            timeout=timeout or self._timeout,
            writes=writes,
            check=check,
        )
        if isinstance(result, Err):
            return result
        response = result.ok_value
        try:
            decoded = parse_json(response.body) if response.body else None
        except ValueError:
            return Err(unusable_response(response, step, self._address, writes=writes))
        return Ok((response.status, decoded))

    async def reset(self) -> None:
        """Closes all connections, any of which may be dead; calls open new ones."""
        self._pool.close()
        self._pool = self._open()

    async def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    def _open(self) -> HttpPool:
        return HttpPool(self._address, self._headers, self._connection_limit)
