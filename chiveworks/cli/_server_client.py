"""Calls of commands to an entry process."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import aiohttp
from yarl import URL

from chiveworks.base import Failure, Step
from chiveworks.cli._reply import Reply

#: Longer than an entry process needs to settle a lost answer of the store.
_TIMEOUT = aiohttp.ClientTimeout(total=30, sock_connect=5)


class ServerClient:
    """Speaks HTTP to one entry process."""

    def __init__(self, session: aiohttp.ClientSession, server: str) -> None:
        self._session = session
        self._server = server.rstrip('/')

    async def get(
        self, *path: str, query: Mapping[str, str | int] | None = None
    ) -> Reply:
        """Reads `/v1/` plus the parts of `path`."""
        return await self._call('GET', path, query, None)

    async def change(
        self,
        method: str,
        *path: str,
        query: Mapping[str, str | int] | None = None,
        body: Any = None,
    ) -> Reply:
        """Sends a change; without an answer its outcome is unknown."""
        return await self._call(method, path, query, body)

    async def _call(
        self,
        method: str,
        path: tuple[str, ...],
        query: Mapping[str, str | int] | None,
        body: Any,
    ) -> Reply:
        reads = method == 'GET'
        parts = '/'.join(quote(part, safe='') for part in path)
        url = URL(f'{self._server}/v1/{parts}', encoded=True).with_query(query)
        try:
            return await self._exchange(method, url, body, reads=reads)
        except aiohttp.InvalidURL as error:
            advice = 'correct --server'
            failure = Failure.not_run(
                Step.VALIDATE, self._server, f'not a usable URL: {error}', advice
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            advice = 'check that the server runs, or choose another with --server'
            failure = Failure.not_run(
                Step.CONNECT, self._server, f'cannot connect: {error}', advice
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            failure = self._lost(str(error) or type(error).__name__, reads=reads)
        return Reply(None, {}, failure)

    async def _exchange(
        self, method: str, url: URL, body: Any, *, reads: bool
    ) -> Reply:
        payload = None if body is None else json.dumps(body).encode()
        async with self._session.request(
            method,
            url,
            data=payload,
            headers={'Content-Type': 'application/json'},
            timeout=_TIMEOUT,
            allow_redirects=False,
        ) as answer:
            raw = await answer.read()
            return Reply.answered(
                answer.status, _decode(raw), self._server, reads=reads
            )

    def _lost(self, reason: str, *, reads: bool) -> Failure:
        message = f'the answer was lost: {reason}'
        if reads:
            return Failure.not_run(
                Step.READ, self._server, message, 'repeat the command'
            )
        advice = 'read the state back before you repeat the command'
        return Failure.unknown(Step.READ, self._server, message, advice)


def _decode(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except ValueError:
        return None
