"""Stand-in of the platform's metadata store: HTTP/1.1 with JSON bodies, in memory.

Usage: python3 kv_store.py HOST PORT

It follows PROTOCOL.md: one revision counter, linearizable reads, watches with history,
transactions that are all or nothing, leases that run from the arrival of a call. It is
always up and answers at once.
"""

import asyncio
import base64
import sys
import time
from urllib.parse import parse_qs, urlsplit

from wire import serve

VALUE_BYTES = 1_048_576
MAX_ENTRIES = 32
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store:
    """Items, leases and history."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [each for each, (_, end) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item['lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.drop(key)
            self.wake()

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def put(self, key, value, lease):
        created = self.items[key]['created'] if key in self.items else self.revision
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self.history.append(item)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, body):
        expected = body.get('expected_rev') or []
        writes = body.get('writes') or []
        removals = body.get('remove') or []
        if len(expected) + len(writes) + len(removals) > MAX_ENTRIES + len(expected):
            return 400, {'error': 'too many entries'}
        for row in expected:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                current = [
                    self.items.get(each['key']) or {'key': each['key'], 'revision': 0}
                    for each in expected
                ]
                return 412, {'items': current}
        for row in writes:
            if len(base64.b64decode(row['value'])) > VALUE_BYTES:
                return 400, {'error': 'the value is larger than value_bytes'}
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {'error': 'there is no such lease'}
        self.revision += 1
        for row in writes:
            self.put(row['key'], row['value'], row.get('lease') or 0)
        for key in removals:
            self.drop(key)
        self.wake()
        return 200, {'revision': self.revision}

    def page(self, prefix, after):
        items, size = [], 0
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                return items, True
            items.append(self.items[key])
            size += len(self.items[key]['value'])
        return items, False

    async def watch(self, prefix, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            self.expire()
            changed = self.changed
            start = len(self.history)
            while start and self.history[start - 1]['revision'] > after:
                start -= 1
            events = [
                each
                for each in self.history[start:]
                if each['key'].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'store_revision': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.05))
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, target, headers, body):
        self.expire()
        url = urlsplit(target)
        query = {name: rows[0] for name, rows in parse_qs(url.query).items()}
        path = url.path
        if path == '/v1/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'store_revision': self.revision}
            return 200, {**item, 'store_revision': self.revision}
        if path == '/v1/kv-range':
            items, more = self.page(query['prefix'], query.get('after', ''))
            return 200, {
                'items': items,
                'has_more': more,
                'store_revision': self.revision,
            }
        if path == '/v1/kv-watch':
            return 200, await self.watch(
                query['prefix'], int(query['after']), int(query['wait_ms'])
            )
        if path == '/v1/kv-txn':
            return self.transact(body)
        if path == '/v1/kv-lease':
            lease, ttl = self.next_lease, body['ttl_ms']
            self.next_lease += 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease': lease, 'ttl_ms': ttl}
        lease = int(path.rpartition('/')[2])
        if path.startswith('/v1/kv-keep/'):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease': lease, 'ttl_ms': ttl}
        if path.startswith('/v1/kv-lease-end/'):
            self.end_lease(lease)
            return 200, {}
        return 404, {}


async def main(host, port):
    store = Store()
    await serve(host, port, store.handle)


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
