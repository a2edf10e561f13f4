"""Stand-in of one worker, one life of it; restart the process for another life.

Usage: python3 worker.py SETTINGS, a JSON file with: id, listen (host:port), address (as
published), store, zone, service, kind, rack, cpu, mem_mb, lease_ms, record (a file to
which each start and end is appended as a line of JSON).

It follows PROTOCOL.md. The `spec` of a task is JSON: work_ms is its duration,
or lasts is true.
"""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

from wire import call, serve

HEARTBEAT_S = 1.5
#: The platform removes the entry of a worker after three heartbeats of silence.
SILENCE_MS = 4500
STOP_S = 0.05


class Worker:
    """Runs under one lease, on the steady clock of this process."""

    def __init__(self, settings):
        self.settings = settings
        self.born = time.time_ns() // 1_000_000
        self.began = time.monotonic()
        self.token = 0
        self.lease_end = 0.0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.count = 0
        self.ended = asyncio.Event()
        self.record = Path(settings['record']).open('a', buffering=1)
        self.entry_lease = 0
        self.note('up')

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def note(self, event, **fields):
        row = {'at': time.time(), 'worker': self.settings['id'], 'event': event}
        self.record.write(json.dumps({**row, **fields}) + '\n')

    def end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run['run'])
        self.count += 1
        self.ends.append([self.count, task, run['run'], how, ''])
        self.note('end', task=task, run=run['run'], how=how, number=self.count)
        self.ended.set()
        self.ended = asyncio.Event()

    def extend(self, until):
        now = self.clock()
        longest = now + self.settings['lease_ms']
        self.lease_end = max(self.lease_end, min(until, longest))

    async def tick(self):
        while True:
            now = time.monotonic()
            if self.runs and self.clock() >= self.lease_end:
                for task in list(self.runs):
                    self.end(task, 'lapsed')
            for task, run in list(self.runs.items()):
                if run['stop_at'] is not None and now >= run['stop_at']:
                    self.end(task, 'stopped')
                elif now >= run['done_at']:
                    self.end(task, run['how'])
            await asyncio.sleep(0.005)

    async def publish(self):
        sequence = 0
        while True:
            sequence += 1
            settings = self.settings
            entry = {
                'service': settings['service'],
                'address': settings['address'],
                'zone': settings['zone'],
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'cold_left_ms': 0,
                'seq': sequence,
                'born': self.born,
                'clock_ms': self.clock(),
                'capacity': {
                    'cpu': settings['cpu'],
                    'mem_mb': settings['mem_mb'],
                    'gpu': 0,
                },
                'labels': [settings['kind'], settings['rack']],
            }
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            if await self.has_lease():
                key = 'servers/' + settings['id']
                write = {'key': key, 'value': value, 'lease': self.entry_lease}
                await self.ask('/v1/kv-txn', {'writes': [write]})
            await asyncio.sleep(HEARTBEAT_S)

    async def has_lease(self):
        """Renews the lease of the entry, or gets one; tells whether there is one."""
        if self.entry_lease:
            status, _ = await self.ask(f'/v1/kv-keep/{self.entry_lease}', {})
            if status == 200:
                return True
        status, granted = await self.ask('/v1/kv-lease', {'ttl_ms': SILENCE_MS})
        if status != 200:
            return False
        self.entry_lease = granted['lease']
        return True

    async def ask(self, path, body):
        return await call(self.settings['store'], 'POST', path, body)

    def start(self, body):
        task, number = body['task'], body['run']
        self.extend(body['until_ms'])
        if body['until_ms'] <= self.clock():
            return 409, 'late'
        run = self.runs.get(task)
        if run is not None and run['run'] == number:
            return 200, ''
        if number <= self.highest.get(task, 0) or run is not None:
            return 409, 'old'
        spec = json.loads(body['spec'])
        work_s = spec.get('work_ms', 300) / 1000
        self.runs[task] = {
            'run': number,
            'began': time.monotonic(),
            'work': work_s,
            # A task that lasts is at work until it is stopped.
            'lasts': bool(spec.get('lasts')),
            'done_at': float('inf') if spec.get('lasts') else time.monotonic() + work_s,
            'stop_at': None,
            'how': 'done',
        }
        self.note('start', task=task, run=number, token=body['fencing_token'])
        return 200, ''

    def stop(self, body):
        task, number = body['task'], body['run']
        run = self.runs.get(task)
        if run is not None and run['run'] <= number and run['stop_at'] is None:
            run['stop_at'] = time.monotonic() + STOP_S
        self.highest[task] = max(self.highest.get(task, 0), number)

    def rows(self):
        now = time.monotonic()
        return [
            [
                task,
                run['run'],
                '',
                100 if run['lasts'] else min(int(100 * (now - run['began']) / run['work']), 99),
                0,
            ]
            for task, run in self.runs.items()
        ]

    async def handle(self, method, target, headers, body):
        if headers.get('x-expect-instance', self.settings['id']) != self.settings['id']:
            return 421, {'clock_ms': self.clock(), 'born': self.born}
        token = (body or {}).get('fencing_token') or 0
        if token < self.token:
            return 409, {'clock_ms': self.clock(), 'reason': 'fence'}
        self.token = token
        if target == '/v1/run-start':
            status, reason = self.start(body)
            answer = {'clock_ms': self.clock()}
            if reason:
                answer['reason'] = reason
            return status, answer
        if target == '/v1/run-stop':
            self.stop(body)
            return 200, {'clock_ms': self.clock()}
        if target == '/v1/pace':
            return 200, {'clock_ms': self.clock()}
        if target == '/v1/hold':
            return 200, await self.hold(body)
        return 404, {}

    async def hold(self, body):
        if 'until_ms' in body:
            self.extend(body['until_ms'])
        seen = body.get('last_seen') or 0
        self.ends = [end for end in self.ends if end[0] > seen]
        deadline = time.monotonic() + (body.get('wait_ms') or 0) / 1000
        while not self.ends and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(
                    self.ended.wait(), deadline - time.monotonic()
                )
            except asyncio.TimeoutError:
                pass
        return {
            'clock_ms': self.clock(),
            'born': self.born,
            'running': self.rows(),
            'finished': self.ends[:500],
        }


async def main(path):
    worker = Worker(json.loads(Path(path).read_text()))
    host, _, port = worker.settings['listen'].rpartition(':')
    await asyncio.gather(
        serve(host, int(port), worker.handle), worker.publish(), worker.tick()
    )


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
