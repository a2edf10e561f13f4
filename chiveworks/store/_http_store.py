"""Client of the platform's store over HTTP, with msgpack bodies."""

from dataclasses import dataclass
from datetime import timedelta

import msgpack
from aiohttp import ClientSession
from result import Err, Ok, Result

from chiveworks.base import Failure, Revision, Step, StoreLeaseId
from chiveworks.base._http_client import HttpClient
from chiveworks.base._http_response import HttpResponse
from chiveworks.store._conflict import StoreConflict
from chiveworks.store._entry import StoreEntry
from chiveworks.store._read import StoreRead
from chiveworks.store._watch_batch import WatchBatch
from chiveworks.store._watch_event import WatchEvent

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_MILLISECOND = timedelta(milliseconds=1)
_DECODE_ERRORS = (KeyError, TypeError, ValueError, msgpack.UnpackException)


@dataclass(frozen=True, slots=True)
class HttpStore:
    """Implementation of `Store` over HTTP.

    Attributes:
        session: HTTP session; the caller closes it.
        base_url: Base URL of the store.
        timeout: Total time limit of a call.
        connect_timeout: Time limit for establishing a connection.
        watch_margin: Time allowed for the response to a watch beyond its wait. With
            a wait of 1.5 s, a silent connection is detected after 2 s.
    """

    session: ClientSession
    base_url: str
    timeout: timedelta = timedelta(seconds=2)
    connect_timeout: timedelta = timedelta(milliseconds=500)
    watch_margin: timedelta = timedelta(milliseconds=500)

    async def fetch(self, key: str) -> Result[StoreRead, Failure]:
        """Reads one key."""
        return await self._read('/v1/kv', {'key': key})

    async def list_prefix(self, prefix: str) -> Result[StoreRead, Failure]:
        """Reads all keys with a prefix, ordered by key."""
        return await self._read('/v1/range', {'prefix': prefix})

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: StoreLeaseId | None = None,
    ) -> Result[Revision, Failure | StoreConflict]:
        """Writes a key if its revision is `expected` (0: absent)."""
        query = {'key': key, 'expected': str(expected)}
        if lease is not None:
            query['lease'] = str(lease)
        outcome = await self._client().call(
            'PUT', '/v1/kv', Step.STORE_WRITE, query=query, body=value
        )
        return self._decode_write(outcome, key, expected)

    async def delete(
        self, key: str, expected: Revision
    ) -> Result[Revision, Failure | StoreConflict]:
        """Deletes a key if its revision is `expected`."""
        query = {'key': key, 'expected': str(expected)}
        outcome = await self._client().call(
            'DELETE', '/v1/kv', Step.STORE_WRITE, query=query
        )
        return self._decode_write(outcome, key, expected)

    async def grant_lease(self, ttl: timedelta) -> Result[StoreLeaseId, Failure]:
        """Creates a lease."""
        query = {'ttl_ms': str(ttl // _MILLISECOND)}
        client = self._client()
        outcome = await client.call('POST', '/v1/leases', Step.STORE_WRITE, query=query)
        if isinstance(outcome, Err):
            return outcome
        try:
            return Ok(
                StoreLeaseId(int(msgpack.unpackb(outcome.ok_value.body)['lease']))
            )
        except _DECODE_ERRORS:
            return Err(
                client.unexpected(outcome.ok_value, Step.STORE_WRITE, writes=True),
            )

    async def renew_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Extends a lease; False when it has expired."""
        return await self._change_lease('POST', f'/v1/leases/{lease}/renew')

    async def revoke_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Ends a lease and deletes its keys."""
        return await self._change_lease('DELETE', f'/v1/leases/{lease}')

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> Result[WatchBatch, Failure]:
        """Waits up to `wait` for changes under `prefix` later than `after`."""
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(wait // _MILLISECOND),
        }
        client = self._client()
        outcome = await client.call(
            'GET',
            '/v1/watch',
            Step.STORE_READ,
            query=query,
            timeout=wait + self.watch_margin,
            writes=False,
        )
        if isinstance(outcome, Err):
            return outcome
        try:
            return Ok(_decode_batch(outcome.ok_value, after))
        except _DECODE_ERRORS:
            return Err(
                client.unexpected(outcome.ok_value, Step.STORE_READ, writes=False),
            )

    def _client(self) -> HttpClient:
        return HttpClient(
            self.session, self.base_url, self.timeout, self.connect_timeout
        )

    async def _read(
        self, path: str, query: dict[str, str]
    ) -> Result[StoreRead, Failure]:
        client = self._client()
        outcome = await client.call(
            'GET', path, Step.STORE_READ, query=query, writes=False
        )
        if isinstance(outcome, Err):
            return outcome
        try:
            return Ok(_decode_read(outcome.ok_value))
        except _DECODE_ERRORS:
            return Err(
                client.unexpected(outcome.ok_value, Step.STORE_READ, writes=False),
            )

    async def _change_lease(self, method: str, path: str) -> Result[bool, Failure]:
        client = self._client()
        outcome = await client.call(method, path, Step.STORE_WRITE)
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status in {_OK, _NOT_FOUND}:
            return Ok(outcome.ok_value.status == _OK)
        return Err(client.unexpected(outcome.ok_value, Step.STORE_WRITE, writes=True))

    def _decode_write(
        self, outcome: Result[HttpResponse, Failure], key: str, expected: Revision
    ) -> Result[Revision, Failure | StoreConflict]:
        if isinstance(outcome, Err):
            return outcome
        response = outcome.ok_value
        try:
            fields = msgpack.unpackb(response.body)
            if response.status == _OK:
                return Ok(Revision(int(fields['revision'])))
            if response.status == _CONFLICT:
                found = Revision(int(fields['mod_revision']))
                return Err(StoreConflict(key, expected, found))
        except _DECODE_ERRORS:
            return Err(
                self._client().unexpected(response, Step.STORE_WRITE, writes=True)
            )
        return Err(self._client().unexpected(response, Step.STORE_WRITE, writes=True))


def _decode_read(response: HttpResponse) -> StoreRead:
    if response.status != _OK:
        raise ValueError(response.status)
    fields = msgpack.unpackb(response.body)
    entries = tuple(StoreEntry(**entry) for entry in fields['entries'])
    return StoreRead(Revision(fields['revision']), entries)


def _decode_batch(response: HttpResponse, after: Revision) -> WatchBatch:
    if response.status == _GONE:
        return WatchBatch(after, (), compacted=True)
    if response.status != _OK:
        raise ValueError(response.status)
    fields = msgpack.unpackb(response.body)
    events = tuple(WatchEvent(**event) for event in fields['events'])
    return WatchBatch(Revision(fields['revision']), events)
