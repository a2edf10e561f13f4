"""HTTP interface of the stand-in for the platform's metadata store."""

import base64
import json
from datetime import timedelta

from aiohttp import web
from result import Err, Result

from chiveworks.base import Clock, Failure, Revision, StoreLeaseId
from chiveworks.metastore import Conflict, StoreItem, Transaction
from standins.metadata._memory_metadata_store import MemoryMetadataStore

#: Largest accepted body of a transaction.
MAX_BODY_BYTES = 16 * 1024 * 1024
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_UNAVAILABLE = 503


def create_app(clock: Clock) -> web.Application:
    """Creates the server's application with an empty store."""
    server = _MetadataServer(MemoryMetadataStore(clock))
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.add_routes(
        (
            web.get('/v1/kv-key', server.read),
            web.get('/v1/kv-range', server.read_all),
            web.get('/v1/kv-watch', server.watch),
            web.post('/v1/kv-txn', server.commit),
            web.post('/v1/kv-lease', server.grant_lease),
            web.post(r'/v1/kv-keep/{lease:\d+}', server.renew_lease),
            web.delete(r'/v1/kv-lease-end/{lease:\d+}', server.revoke_lease),
        )
    )
    return app


class _MetadataServer:
    """Request handlers for one store in memory."""

    def __init__(self, store: MemoryMetadataStore) -> None:
        self._store = store

    async def read(self, request: web.Request) -> web.Response:
        found = await self._store.read(request.query['key'])
        if isinstance(found, Err):
            return _refusal(found)
        item = found.ok_value
        status = _NOT_FOUND if item.content is None else web.HTTPOk.status_code
        return web.json_response(_encode_item(item), status=status)

    async def read_all(self, request: web.Request) -> web.Response:
        found = await self._store.read_all(request.query['prefix'])
        if isinstance(found, Err):
            return _refusal(found)
        listing = found.ok_value
        return web.json_response(
            {
                'items': [_encode_item(item) for item in listing.items],
                'store_revision': listing.revision,
                'has_more': False,
            }
        )

    async def watch(self, request: web.Request) -> web.Response:
        found = await self._store.watch(
            request.query['prefix'],
            Revision(int(request.query['after'])),
            timedelta(milliseconds=int(request.query['wait_ms'])),
        )
        if isinstance(found, Err):
            return _refusal(found)
        batch = found.ok_value
        if batch.compacted:
            return web.json_response({}, status=_GONE)
        return web.json_response(
            {
                'events': [_encode_item(item) for item in batch.items],
                'store_revision': batch.revision,
            }
        )

    async def commit(self, request: web.Request) -> web.Response:
        fields = json.loads(await request.read())
        outcome = await self._store.commit(_decode_transaction(fields))
        if isinstance(outcome, Err):
            return _refusal(outcome)
        applied = outcome.ok_value
        if isinstance(applied, Conflict):
            current = [_encode_item(item) for item in applied.items.values()]
            return web.json_response({'items': current}, status=_CONFLICT)
        return web.json_response({'revision': applied.revision})

    async def grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = json.loads(await request.read())['ttl_ms']
        granted = await self._store.grant_lease(timedelta(milliseconds=ttl_ms))
        if isinstance(granted, Err):
            return _refusal(granted)
        return web.json_response({'lease': granted.ok_value})

    async def renew_lease(self, request: web.Request) -> web.Response:
        renewed = await self._store.renew_lease(_lease(request))
        if isinstance(renewed, Err):
            return _refusal(renewed)
        found = web.HTTPOk.status_code if renewed.ok_value else _NOT_FOUND
        return web.json_response({}, status=found)

    async def revoke_lease(self, request: web.Request) -> web.Response:
        await self._store.revoke_lease(_lease(request))
        return web.json_response({})


def _refusal(failed: 'Result[object, Failure]') -> web.Response:
    return web.json_response({'error': str(failed.err())}, status=_UNAVAILABLE)


def _lease(request: web.Request) -> StoreLeaseId:
    return StoreLeaseId(int(request.match_info['lease']))


def _encode_item(item: StoreItem) -> dict[str, object]:
    if item.content is None:
        return {'key': item.key, 'revision': item.revision, 'deleted': True}
    content = base64.b64encode(item.content).decode()
    return {'key': item.key, 'revision': item.revision, 'value': content}


def _decode_transaction(fields: dict[str, list[dict[str, object]]]) -> Transaction:
    writes = fields.get('writes', [])
    leases = {write['lease'] for write in writes if write.get('lease')}
    return Transaction(
        expected={
            str(row['key']): Revision(int(str(row['revision'])))
            for row in fields.get('expected_rev', [])
        },
        writes={str(row['key']): base64.b64decode(str(row['value'])) for row in writes},
        removals=tuple(map(str, fields.get('remove', []))),
        leased=frozenset(str(row['key']) for row in writes if row.get('lease')),
        lease=StoreLeaseId(int(str(leases.pop()))) if leases else None,
    )
