"""Stand-in of the platform's metadata store (`PROTOCOL.md`), in memory.

Usage: store.py HOST PORT

Workers report with `POST /test/beat`; their entries expire after three intervals of
silence. `POST /test/fault` sets a disruption of the writes of clients' jobs, see `Faults`.
"""

import asyncio
import base64
import itertools
import json
import sys
import time
from typing import Any

from aiohttp import web

ANSWER_S = 0.004
BEAT_S = 1.5
PAGE_ITEMS = 500
HISTORY_S = 20.0
#: Silence after which the other members of a gang take a member for gone.
GANG_SILENCE_S = 0.4


class Faults:
    """Disruption of writes: the answer is lost, and the write is done late or at once.

    Attributes:
        key_prefix: Writes of keys with this prefix are hit.
        answers: Number of writes to hit.
        delays: Delay of each such write in seconds; None: it is never done.
    """

    def __init__(self) -> None:
        self.key_prefix = ''
        self.delays: list[float | None] = []
        self.hits: list[dict[str, Any]] = []


class Gang:
    """Members of one run of a gang, which tell each other that they are there."""

    def __init__(self) -> None:
        self.seen: dict[str, float] = {}
        self.complete_at: float | None = None
        self.broken = False


class Store:
    """Items, leases and history."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[tuple[float, dict[str, Any]]] = []
        self.compacted_at = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_numbers = itertools.count(1000)
        self.changed = asyncio.Condition()
        self.beats: dict[str, float] = {}
        self.faults = Faults()
        self.gangs: dict[str, Gang] = {}

    def put(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': old['created'] if old else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self.events.append((time.monotonic(), dict(item)))

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            event = {'key': key, 'revision': self.revision, 'deleted': True}
            self.events.append((time.monotonic(), event))

    def apply(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = body.get('expected_rev') or []
        writes = body.get('writes') or []
        removals = body.get('remove') or []
        for row in expected:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {'items': [self.state(row['key']) for row in expected]}
        for write in writes:
            lease = write.get('lease') or 0
            if lease and lease not in self.leases:
                return 404, {}
        self.revision += 1
        for write in writes:
            self.put(write['key'], write.get('value', ''), write.get('lease') or 0)
        for key in removals:
            self.remove(key)
        return 200, {'revision': self.revision}

    def state(self, key: str) -> dict[str, Any]:
        return self.items.get(key) or {'key': key, 'revision': 0, 'deleted': True}

    async def announce(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item['lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
        return True

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            before = self.revision
            for lease, (_ttl, until) in tuple(self.leases.items()):
                if now >= until:
                    self.end_lease(lease)
            for key, at in tuple(self.beats.items()):
                if now - at > 3 * BEAT_S:
                    del self.beats[key]
                    self.revision += 1
                    self.remove(key)
            while self.events and now - self.events[0][0] > HISTORY_S:
                self.compacted_at = self.events.pop(0)[1]['revision']
            if self.revision != before:
                await self.announce()


store: Store


def answer(status: int, body: dict[str, Any]) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type='application/json',
    )


async def get_key(request: web.Request) -> web.Response:
    await asyncio.sleep(ANSWER_S)
    item = store.items.get(request.query['key'])
    if item is None:
        return answer(404, {'store_revision': store.revision})
    return answer(200, {**item, 'store_revision': store.revision})


async def get_range(request: web.Request) -> web.Response:
    await asyncio.sleep(ANSWER_S)
    prefix, after = request.query['prefix'], request.query.get('after', '')
    keys = sorted(key for key in store.items if key.startswith(prefix) and key > after)
    items = [store.items[key] for key in keys[:PAGE_ITEMS]]
    return answer(
        200,
        {
            'items': items,
            'has_more': len(keys) > PAGE_ITEMS,
            'store_revision': store.revision,
        },
    )


async def watch(request: web.Request) -> web.StreamResponse:
    prefix, after = request.query['prefix'], int(request.query['after'])
    deadline = time.monotonic() + int(request.query.get('wait_ms', '0')) / 1000
    while True:
        if after < store.compacted_at:
            return answer(410, {'store_revision': store.revision})
        events = [
            event
            for _at, event in store.events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]
        left = deadline - time.monotonic()
        if events or left <= 0:
            body = {'events': events, 'store_revision': store.revision}
            await asyncio.sleep(ANSWER_S)
            return answer(200, body)
        async with store.changed:
            try:
                await asyncio.wait_for(store.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


async def txn(request: web.Request) -> web.StreamResponse:
    body = json.loads(await request.read())
    await asyncio.sleep(ANSWER_S)
    faults = store.faults
    keys = [write['key'] for write in body.get('writes') or []]
    hit = faults.key_prefix and any(key.startswith(faults.key_prefix) for key in keys)
    if hit and faults.delays:
        delay = faults.delays.pop(0)
        record = {'keys': keys, 'delay_s': delay, 'lost_at': time.time()}
        faults.hits.append(record)
        if delay is not None:
            asyncio.create_task(apply_late(body, delay, record))
        # The answer is lost: the connection returns nothing further.
        await asyncio.sleep(30)
        return answer(503, {})
    status, reply = store.apply(body)
    await store.announce()
    return answer(status, reply)


async def apply_late(body: dict[str, Any], delay: float, record: dict[str, Any]) -> None:
    await asyncio.sleep(delay)
    status, _reply = store.apply(body)
    record.update(done_at=time.time(), status=status)
    await store.announce()


async def grant(request: web.Request) -> web.Response:
    ttl = json.loads(await request.read())['ttl_ms'] / 1000
    lease = next(store.lease_numbers)
    store.leases[lease] = (ttl, time.monotonic() + ttl)
    await asyncio.sleep(ANSWER_S)
    return answer(200, {'lease': lease, 'ttl_ms': int(ttl * 1000)})


async def keep(request: web.Request) -> web.Response:
    lease = int(request.match_info['lease'])
    if lease not in store.leases:
        return answer(404, {})
    ttl, _until = store.leases[lease]
    store.leases[lease] = (ttl, time.monotonic() + ttl)
    await asyncio.sleep(ANSWER_S)
    return answer(200, {'lease': lease, 'ttl_ms': int(ttl * 1000)})


async def end(request: web.Request) -> web.Response:
    ended = store.end_lease(int(request.match_info['lease']))
    await store.announce()
    return answer(200 if ended else 404, {})


async def beat(request: web.Request) -> web.Response:
    """A worker reports; an operator writes a key the same way, without expiry."""
    body = json.loads(await request.read())
    store.revision += 1
    if body.get('remove'):
        store.remove(body['key'])
        store.beats.pop(body['key'], None)
    else:
        value = base64.b64encode(json.dumps(body['value']).encode()).decode()
        store.put(body['key'], value, 0)
        if body.get('expires', True):
            store.beats[body['key']] = time.monotonic()
    await store.announce()
    return answer(200, {'revision': store.revision})


async def gang(request: web.Request) -> web.Response:
    """Workers report the members that they run; a member that is silent has ended."""
    body = json.loads(await request.read())
    now = time.monotonic()
    replies = {}
    for member in body['members']:
        found = store.gangs.setdefault(member['gang'], Gang())
        found.seen[member['task']] = now
        if member.get('ended'):
            found.broken = True
        if len(found.seen) == member['size'] and found.complete_at is None:
            found.complete_at = now
        if now - min(found.seen.values()) > GANG_SILENCE_S:
            found.broken = True
        age = None if found.complete_at is None else now - found.complete_at
        replies[member['task']] = {'complete_for_s': age, 'broken': found.broken}
    return answer(200, replies)


async def set_fault(request: web.Request) -> web.Response:
    body = json.loads(await request.read())
    store.faults.key_prefix = body['key_prefix']
    store.faults.delays = body['delays']
    return answer(200, {'hits': store.faults.hits})


async def main() -> None:
    global store
    store = Store()
    app = web.Application(client_max_size=16 * 1024 * 1024)
    app.add_routes(
        [
            web.get('/v1/kv-key', get_key),
            web.get('/v1/kv-range', get_range),
            web.get('/v1/kv-watch', watch),
            web.post('/v1/kv-txn', txn),
            web.post('/v1/kv-lease', grant),
            web.post('/v1/kv-keep/{lease}', keep),
            web.delete('/v1/kv-lease-end/{lease}', end),
            web.post('/test/beat', beat),
            web.post('/test/fault', set_fault),
            web.post('/test/gang', gang),
        ]
    )
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, sys.argv[1], int(sys.argv[2])).start()
    await store.sweep()


if __name__ == '__main__':
    asyncio.run(main())
