"""HTTP server of the stand-in for the key-value store."""

from dataclasses import asdict
from datetime import timedelta

import msgpack
from aiohttp import web
from aiohttp.typedefs import Handler
from result import Ok

from chiveworks.base import Clock, Revision, StoreLeaseId
from chiveworks.store import StoreConflict, StoreRead
from standins.store._engine import VALUE_LIMIT_BYTES, StoreEngine
from standins.store._faults import StoreFaults
from standins.store._rate_limit import RateLimit
from standins.store._rejection import Rejection

_BODY_MARGIN_BYTES = 65_536
_KV = '/v1/kv'
_LEASE = r'/v1/leases/{lease:\d+}'


def create_app(
    clock: Clock, writes_per_s: int = 500, reads_per_s: int = 2000
) -> web.Application:
    """Creates the server's application with an empty store."""
    server = _StoreServer(clock, writes_per_s, reads_per_s)
    app = web.Application(
        middlewares=(server.apply_faults,),
        client_max_size=VALUE_LIMIT_BYTES + _BODY_MARGIN_BYTES,
    )
    app.add_routes(
        (
            web.get(_KV, server.fetch, allow_head=False),
            web.put(_KV, server.put),
            web.delete(_KV, server.delete),
            web.get('/v1/range', server.list_prefix),
            web.get('/v1/watch', server.watch),
            web.post('/v1/leases', server.grant_lease),
            web.post(f'{_LEASE}/renew', server.renew_lease),
            web.delete(_LEASE, server.revoke_lease),
            web.post('/faults', server.change_faults),
            web.get('/stats', server.stats),
        )
    )
    return app


class _StoreServer:
    """Request handlers for one store engine."""

    def __init__(self, clock: Clock, writes_per_s: int, reads_per_s: int) -> None:
        self._engine = StoreEngine(clock)
        self._faults = StoreFaults()
        self._clock = clock
        self._writes = RateLimit(clock, writes_per_s)
        self._reads = RateLimit(clock, reads_per_s)
        self._limited = 0

    @web.middleware
    async def apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Applies faults and rate limits to calls of the store's API."""
        if not request.path.startswith('/v1/'):
            return await handler(request)
        if self._faults.outage:
            return web.Response(status=503)
        limit = self._reads if request.method == 'GET' else self._writes
        if not limit.admit():
            self._limited += 1
            return web.Response(status=429)
        response = await handler(request)
        if self._faults.delay_ms:
            await self._clock.sleep(timedelta(milliseconds=self._faults.delay_ms))
        writes_key = request.path == _KV and request.method != 'GET'
        if writes_key and self._faults.should_drop_response() and request.transport:
            request.transport.abort()
        return response

    async def fetch(self, request: web.Request) -> web.Response:
        """Reads one key."""
        return _read_response(self._engine.fetch(request.query['key']))

    async def list_prefix(self, request: web.Request) -> web.Response:
        """Reads the keys with a prefix."""
        return _read_response(self._engine.list_prefix(request.query['prefix']))

    async def put(self, request: web.Request) -> web.Response:
        """Writes a key."""
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return _refusal_response(Rejection.TOO_LARGE)
        query = request.query
        lease = StoreLeaseId(int(query['lease'])) if 'lease' in query else None
        expected = Revision(int(query['expected']))
        outcome = self._engine.put(query['key'], body, expected, lease)
        if isinstance(outcome, Ok):
            return _msgpack_response({'revision': outcome.ok_value})
        return _refusal_response(outcome.err_value)

    async def delete(self, request: web.Request) -> web.Response:
        """Deletes a key."""
        expected = Revision(int(request.query['expected']))
        outcome = self._engine.delete(request.query['key'], expected)
        if isinstance(outcome, Ok):
            return _msgpack_response({'revision': outcome.ok_value})
        return _refusal_response(outcome.err_value)

    async def watch(self, request: web.Request) -> web.Response:
        """Waits for changes."""
        query = request.query
        wait = timedelta(milliseconds=int(query['wait_ms']))
        after = Revision(int(query['after']))
        batch = await self._engine.watch(query['prefix'], after, wait)
        status = 410 if batch.compacted else 200
        events = [asdict(event) for event in batch.events]
        return _msgpack_response({'revision': batch.revision, 'events': events}, status)

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Creates a lease."""
        ttl = timedelta(milliseconds=int(request.query['ttl_ms']))
        return _msgpack_response({'lease': self._engine.grant_lease(ttl)})

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Extends a lease."""
        renewed = self._engine.renew_lease(_lease_id(request))
        return _msgpack_response({}, 200 if renewed else 404)

    async def revoke_lease(self, request: web.Request) -> web.Response:
        """Ends a lease."""
        revoked = self._engine.revoke_lease(_lease_id(request))
        return _msgpack_response({}, 200 if revoked else 404)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Sets faults."""
        self._faults.update(await request.json())
        return web.json_response({})

    async def stats(self, request: web.Request) -> web.Response:
        """Returns the number of calls by kind."""
        return web.json_response({**self._engine.calls, 'limited': self._limited})


def _lease_id(request: web.Request) -> StoreLeaseId:
    return StoreLeaseId(int(request.match_info['lease']))


def _msgpack_response(fields: dict[str, object], status: int = 200) -> web.Response:
    return web.Response(status=status, body=msgpack.packb(fields))


def _read_response(read: StoreRead) -> web.Response:
    entries = [asdict(entry) for entry in read.entries]
    return _msgpack_response({'revision': read.revision, 'entries': entries})


def _refusal_response(refusal: StoreConflict | Rejection) -> web.Response:
    if isinstance(refusal, StoreConflict):
        return _msgpack_response(
            {'revision': refusal.found, 'mod_revision': refusal.found}, 409
        )
    if refusal is Rejection.UNKNOWN_LEASE:
        return _msgpack_response({'lease': refusal.value}, 404)
    return _msgpack_response({'value': refusal.value}, 413)
