"""Stand-in of one worker (`PROTOCOL.md`, Running tasks).

Usage: worker.py SETTINGS, a JSON file with `id`, `service`, `zone`, `host`, `port`,
`store`, `kind`, `rack`, `cpu`, `mem_mb`, `stop_ms`, `hold_max_ms`, `gang_ms`, `first_beat_s` (when
it first reports after its start) and `log`.

The `spec` of a task is JSON: `ms` (how long it works), `fails` (ends as failed) and
`lasts` (works until it is stopped) and
`gang` (number of members). What runs and ends is appended to the log file.
"""

import asyncio
import json
import sys
import time
from typing import Any

from aiohttp import ClientSession, web

BEAT_S = 1.5
STARTUP_S = 0.1


class Worker:
    """One life of a worker."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_end = 0.0
        self.runs: dict[str, dict[str, Any]] = {}
        self.highest_ended: dict[str, int] = {}
        self.finished: list[list[Any]] = []
        self.count = 0
        self.ended = asyncio.Event()
        self.seq = 0
        self.log_file = open(settings['log'], 'a', buffering=1)

    def clock_ms(self) -> int:
        return int((time.monotonic() - self.began) * 1000)

    def log(self, event: str, **fields: Any) -> None:
        line = {'t': time.time(), 'worker': self.settings['id'], 'born': self.born}
        self.log_file.write(json.dumps({**line, 'event': event, **fields}) + '\n')

    def extend(self, until_ms: float | None) -> None:
        if until_ms is not None:
            limit = self.clock_ms() + self.settings['hold_max_ms']
            self.lease_end = max(self.lease_end, min(until_ms, limit))

    def end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self.count += 1
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run['run'])
        self.finished.append([self.count, task, run['run'], how, ''])
        self.log('end', task=task, run=run['run'], how=how, number=self.count)
        self.ended.set()

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            lapsed = self.clock_ms() >= self.lease_end
            for task, run in tuple(self.runs.items()):
                if run['stops_at'] is not None and now >= run['stops_at']:
                    self.end(task, 'stopped')
                elif lapsed:
                    self.end(task, 'lapsed')
                elif run['gang']:
                    continue
                elif not run['lasts'] and now >= run['begun_at'] + run['s']:
                    self.end(task, 'failed' if run['fails'] else 'done')

    async def meet(self) -> None:
        """Lets the members of gangs find each other and end together."""
        async with ClientSession() as session:
            while True:
                await asyncio.sleep(0.05)
                gangs = {
                    task: run for task, run in self.runs.items() if run['gang']
                }
                if not gangs:
                    continue
                members = [
                    {
                        'gang': f'{task.rpartition(".")[0]}/{run["run"]}',
                        'task': task,
                        'size': run['gang'],
                    }
                    for task, run in gangs.items()
                ]
                url = f'http://{self.settings["store"]}/test/gang'
                try:
                    response = await session.post(url, json={'members': members})
                    replies = await response.json()
                except OSError:
                    continue
                for task, reply in replies.items():
                    run = self.runs.get(task)
                    if run is not None and run is gangs[task]:
                        self.advance(task, run, reply)

    def advance(self, task: str, run: dict[str, Any], reply: dict[str, Any]) -> None:
        complete_for_s = reply['complete_for_s']
        waited_s = time.monotonic() - run['begun_at']
        if reply['broken']:
            self.end(task, 'broken')
        elif complete_for_s is not None:
            run['share'] = complete_for_s / run['s']
            if complete_for_s >= run['s']:
                self.end(task, 'done')
        elif waited_s >= self.settings['gang_ms'] / 1000:
            self.end(task, 'alone')

    async def beat(self) -> None:
        settings = self.settings
        await asyncio.sleep(settings['first_beat_s'])
        async with ClientSession() as session:
            while True:
                self.seq += 1
                value = {
                    'service': settings['service'],
                    'address': f'{settings["host"]}:{settings["port"]}',
                    'zone': settings['zone'],
                    'version': 'v1',
                    'slots': 8,
                    'state': 'ready',
                    'cold_left_ms': 0,
                    'capacity': {
                        'cpu': settings['cpu'],
                        'mem_mb': settings['mem_mb'],
                        'gpu': 0,
                    },
                    'labels': [settings['kind'], settings['rack']],
                    'clock_ms': self.clock_ms(),
                    'born': self.born,
                    'seq': self.seq,
                }
                body = {'key': f'servers/{settings["id"]}', 'value': value}
                try:
                    url = f'http://{settings["store"]}/test/beat'
                    await (await session.post(url, json=body)).read()
                except OSError:
                    pass
                await asyncio.sleep(BEAT_S)

    def used(self) -> int:
        return sum(run['cpu'] for run in self.runs.values())

    def reply(self, status: int, **fields: Any) -> web.Response:
        body = {'clock_ms': self.clock_ms(), 'born': self.born, **fields}
        return web.Response(
            status=status,
            body=json.dumps(body).encode(),
            content_type='application/json',
        )

    def refuses(self, request: web.Request, body: dict[str, Any]) -> web.Response | None:
        expected = request.headers.get('X-Expect-Instance')
        if expected is not None and expected != self.settings['id']:
            return self.reply(421)
        token = body.get('fencing_token') or 0
        if token < self.fence:
            return self.reply(409, reason='fence')
        self.fence = token
        return None

    async def start(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        refusal = self.refuses(request, body)
        if refusal is not None:
            return refusal
        task, number = body['task'], body['run']
        if body['until_ms'] <= self.clock_ms():
            return self.reply(409, reason='late')
        self.extend(body['until_ms'])
        present = self.runs.get(task)
        if present is not None and present['run'] == number:
            return self.reply(200)
        if present is not None or number <= self.highest_ended.get(task, 0):
            return self.reply(409, reason='old')
        spec = json.loads(body['spec'])
        if self.used() + spec.get('cpu', 1000) > self.settings['cpu']:
            return self.reply(409, reason='room')
        self.runs[task] = {
            'run': number,
            'begun_at': time.monotonic(),
            's': spec.get('ms', 1000) / 1000,
            'fails': spec.get('fails', False),
            'lasts': spec.get('lasts', False),
            'cpu': spec.get('cpu', 1000),
            'stops_at': None,
            'gang': spec.get('gang', 0),
        }
        self.log('start', task=task, run=number, token=body['fencing_token'])
        return self.reply(200)

    async def stop(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        refusal = self.refuses(request, body)
        if refusal is not None:
            return refusal
        task, number = body['task'], body['run']
        run = self.runs.get(task)
        if run is not None and run['run'] <= number:
            if run['stops_at'] is None:
                run['stops_at'] = time.monotonic() + self.settings['stop_ms'] / 2000
                self.log('stop', task=task, run=number)
        elif run is None:
            self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        return self.reply(200)

    async def pace(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        return self.refuses(request, body) or self.reply(200)

    async def hold(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        refusal = self.refuses(request, body)
        if refusal is not None:
            return refusal
        self.extend(body.get('until_ms'))
        seen = body.get('last_seen') or 0
        self.finished = [row for row in self.finished if row[0] > seen]
        deadline = time.monotonic() + (body.get('wait_ms') or 0) / 1000
        while not self.finished and time.monotonic() < deadline:
            self.ended.clear()
            try:
                await asyncio.wait_for(
                    self.ended.wait(), deadline - time.monotonic()
                )
            except asyncio.TimeoutError:
                break
        running = []
        for task, run in self.runs.items():
            age = time.monotonic() - run['begun_at']
            length = STARTUP_S if run['lasts'] else run['s']
            if run['gang']:
                age = run.get('share', 0) * length
            percent = min(int(100 * age / max(length, 0.001)), 100)
            running.append([task, run['run'], '', percent, run['cpu']])
        return self.reply(200, running=running, finished=self.finished[:500])


async def main() -> None:
    with open(sys.argv[1]) as settings_file:
        worker = Worker(json.load(settings_file))
    app = web.Application()
    app.add_routes(
        [
            web.post('/v1/run-start', worker.start),
            web.post('/v1/run-stop', worker.stop),
            web.post('/v1/pace', worker.pace),
            web.post('/v1/hold', worker.hold),
        ]
    )
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    settings = worker.settings
    await web.TCPSite(runner, settings['host'], settings['port']).start()
    worker.log('up')
    await asyncio.gather(worker.tick(), worker.beat(), worker.meet())


if __name__ == '__main__':
    asyncio.run(main())
