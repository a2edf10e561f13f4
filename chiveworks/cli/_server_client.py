"""Client for the HTTP API of an entry process."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import aiohttp
from yarl import URL

from chiveworks.base import Failure, Step
from chiveworks.cli._reply import Reply

#: Longer than an entry process needs to resolve a store write whose response was lost.
_TIMEOUT = aiohttp.ClientTimeout(total=30, sock_connect=5)


class ServerClient:
    """Sends requests to one entry process."""

    def __init__(self, session: aiohttp.ClientSession, server: str) -> None:
        self._session = session
        self._server = server.rstrip('/')

    async def get(
        self, *path: str, query: Mapping[str, str | int] | None = None
    ) -> Reply:
        """Reads the resource at `/v1/` plus the segments of `path`."""
        return await self._call('GET', path, query, None)

    async def change(
        self,
        method: str,
        *path: str,
        query: Mapping[str, str | int] | None = None,
        body: Any = None,
    ) -> Reply:
        """Sends a change; if the response is lost, its outcome is unknown."""
        return await self._call(method, path, query, body)

    async def _call(
        self,
        method: str,
        path: tuple[str, ...],
        query: Mapping[str, str | int] | None,
        body: Any,
    ) -> Reply:
        read_only = method == 'GET'
        parts = '/'.join(quote(part, safe='') for part in path)
        url = URL(f'{self._server}/v1/{parts}', encoded=True).with_query(query)
        try:
            return await self._exchange(method, url, body, read_only=read_only)
        except aiohttp.InvalidURL as error:
            next_step = 'correct --server'
            failure = Failure.not_run(
                Step.VALIDATE, self._server, f'not a usable URL: {error}', next_step
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            next_step = 'check that the server runs, or choose another with --server'
            failure = Failure.not_run(
                Step.CONNECT, self._server, f'cannot connect: {error}', next_step
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            failure = self._lost_response_failure(
                str(error) or type(error).__name__, read_only=read_only
            )
        return Reply(None, {}, failure)

    async def _exchange(
        self, method: str, url: URL, body: Any, *, read_only: bool
    ) -> Reply:
        payload = None if body is None else json.dumps(body).encode()
        async with self._session.request(
            method,
            url,
            data=payload,
            headers={'Content-Type': 'application/json'},
            timeout=_TIMEOUT,
            allow_redirects=False,
        ) as response:
            raw = await response.read()
            return Reply.from_response(
                response.status, _decode(raw), self._server, read_only=read_only
            )

    def _lost_response_failure(self, reason: str, *, read_only: bool) -> Failure:
        message = f'the response was lost: {reason}'
        if read_only:
            return Failure.not_run(
                Step.READ, self._server, message, 'repeat the command'
            )
        next_step = 'check the current state before repeating the command'
        return Failure.unknown(Step.READ, self._server, message, next_step)


def _decode(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except ValueError:
        return None
