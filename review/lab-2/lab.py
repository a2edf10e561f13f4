"""A small deployment on loopback addresses for the cases of review/6 to review/10.

It starts the project's own processes with the command of the deploy file, and the
stand-ins of this folder: a store, workers, and links between them. Everything runs in
processes of its own, which `close` ends by their ids.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from wire import call

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
#: Apart from the seed of a case.
PORTS = random.SystemRandom()
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'compteurs'
HOST_NAME = 'nony24.example'
PREFIX = '/lohu930/'
#: The queue with advice, in the cases that have one.
ADVISED = '/bopu901/'
LEASE_MS = 6000
#: Of the deploy file.
METRICS_PORT = 9464
#: One way through a link: between two zones of lamphun-mesh.
LINK_DELAY_S = 0.0014


def can_listen(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Link:
    """TCP proxy in front of one address. While `cut`, bytes and connections are held."""

    def __init__(self, host, port, target):
        self.host, self.port, self.target = host, port, target
        self.open = asyncio.Event()
        self.open.set()
        self.token = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, self.port)

    def cut(self):
        self.open.clear()

    def cut_but_for(self, token):
        """Holds new connections of all processes but the leader with this token."""
        self.token = token

    def heal(self):
        self.token = None
        self.open.set()

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _accept(self, reader, writer):
        host, _, port = self.target.rpartition(':')
        try:
            # The answer to the opening packet takes both ways.
            await asyncio.sleep(2 * LINK_DELAY_S)
            await self.open.wait()
            first = await self._admit(reader)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            far_writer.write(first)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )
        self.writers -= pair

    async def _admit(self, reader):
        """Waits for the end of the cut unless the first request carries the token."""
        if self.token is None:
            return b''
        first = await reader.read(65536)
        while self.token is not None and b'"fencing_token":%d' % self.token not in first:
            await asyncio.sleep(0.01)
        return first

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(LINK_DELAY_S)
                await self.open.wait()
                writer.write(data)
                await writer.drain()
            await self.open.wait()
            writer.close()
        except OSError:
            writer.transport.abort()


class Lab:
    """Deployment with a record of what was sent, answered and run."""

    def __init__(self, case, *, attempts=3, advice=None, limits=(0.43, 1), stop_ms=900):
        self.folder = Path(case)
        self.dir = Path(tempfile.mkdtemp(prefix='chive-case-'))
        self.runs_path = self.dir / 'runs.jsonl'
        self.runs_path.touch()
        self.children = {}
        self.taken = set()
        self.lives = {}
        self.deaths = {}
        self.fronts = []
        self.links = {}
        self.lines = []
        self.began = time.time()
        self.attempts = attempts
        self.advice = advice
        self.limits = limits
        self.stop_ms = stop_ms
        self.advice_address = '127.0.0.1:9'
        self.store = self.free('127.0.0.1')

    # Addresses and children

    def free(self, host):
        """Returns a free address, with a port that no outgoing connection gets."""
        while True:
            port = PORTS.randrange(20_000, 32_000)
            if (host, port) not in self.taken and can_listen(host, port):
                self.taken.add((host, port))
                return f'{host}:{port}'

    def free_host(self):
        """Returns a loopback address for a process, whose port for metrics is fixed."""
        while True:
            host = f'127.0.{PORTS.randrange(1, 250)}.{random.randrange(2, 250)}'
            if can_listen(host, METRICS_PORT):
                return host

    def spawn(self, name, command, env=None):
        log = (self.dir / f'{name}.log').open('ab')
        child = subprocess.Popen(
            command,
            cwd=ROOT if env else HERE,
            stdout=log,
            stderr=log,
            env=env or os.environ,
        )
        log.close()
        self.children[name] = child
        self.say('process started', name=name)
        return child

    def kill(self, name, how=signal.SIGKILL):
        child = self.children.pop(name)
        child.send_signal(how)
        child.wait()
        self.deaths[self.lives.get(name, name)] = time.time()
        self.say('process killed', name=name)

    async def start_store(self):
        host, _, port = self.store.rpartition(':')
        self.spawn('store', [sys.executable, str(HERE / 'kv_store.py'), host, port])
        await self.until(self._store_up, 10, 'the store does not start')
        await self.put('op/config', self.config(1))

    async def _store_up(self):
        return (await call(self.store, 'GET', '/v1/kv-key?key=x'))[0] == 404

    def config(self, version):
        route = {
            'name': 'q',
            'host': HOST_NAME,
            'prefix': PREFIX,
            'service': SERVICE,
            'priority': 0,
            'max_attempts': self.attempts,
            'stretch': 2.0,
            'target_latency_ms': 1000,
            'timeout_ms': 3000,
        }
        routes = [route]
        if self.advice:
            routes.append(
                {**route, 'name': 'qa', 'prefix': ADVISED, 'advice': self.advice}
            )
        return {
            'version': version,
            'routes': routes,
            'services': [{'name': SERVICE, 'enforces_capacity': True}],
            'limits': {'max_body_bytes': 262144, 'max_header_bytes': 16384},
        }

    async def put(self, key, content):
        value = base64.b64encode(json.dumps(content).encode()).decode()
        body = {'writes': [{'key': key, 'value': value}]}
        status, _ = await call(self.store, 'POST', '/v1/kv-txn', body)
        assert status == 200, status

    async def start_processes(self, count=3, stores=()):
        zones = ('laita', 'kerbertrand', 'isole')
        for number in range(count):
            ip = self.free_host()
            name = f'edge-{zones[number % 3]}-{number // 3 + 1}'
            listen = {each: self.free(ip) for each in ('front', 'ready', 'control')}
            self.fronts.append(listen['front'])
            path = self.dir / f'{name}.toml'
            store = stores[number] if stores else self.store
            path.write_text(self._settings(name, zones[number % 3], ip, listen, store))
            self.start_process(name, path)
        await self.until(self._ready, 20, 'the processes do not serve')

    def start_process(self, name, path):
        env = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['CHIVEWORKS_BOOT'] = str(path)
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        self.spawn(name, ['python3', '-m', 'chiveworks.platform'], env)

    async def _ready(self):
        for front in self.fronts:
            status, body = await self.client('GET', '', front)
            if status != 200 or 'pending' not in body:
                return False
        return True

    def _settings(self, name, zone, ip, listen, store):
        return f"""node = "{name}"
role = "entry"
class = "edge"
serves = ["edge","control"]
ip = "{ip}"
zone = "{zone}"
region = "finistere"
internal_ports = [7720,7735]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","places","platform"]
orders = "call"
advice = "{self.advice_address}"
[zones]
laita = "finistere"
kerbertrand = "finistere"
isole = "finistere"
[listen]
front = "{listen['front']}"
ready = "{listen['ready']}"
control = "{listen['control']}"
[limits]
cpu_share = {self.limits[0]}
cores = {self.limits[1]}
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
evacuate_ms = 5000
recover_s = 12
hold_max_ms = {LEASE_MS}
stop_ms = {self.stop_ms}
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
lease_ms = 3000
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud]
address = "127.0.0.1:9"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
"""

    async def add_link(self, name, target):
        """Starts a link to an address; returns its own address."""
        address = self.free('127.0.0.1')
        host, _, port = address.rpartition(':')
        self.links[name] = Link(host, int(port), target)
        await self.links[name].start()
        return address

    async def start_worker(self, name, worker_id, *, link=False, reuse=False, **extra):
        """Starts a life of the worker at the place `name`, at the same address again."""
        path = self.dir / f'{name}.json'
        if reuse:
            settings = json.loads(path.read_text())
        else:
            listen = self.free('127.0.0.1')
            address = listen
            if link:
                address = await self.add_link(name, listen)
            settings = {
                'listen': listen,
                'address': address,
                'store': self.store,
                'zone': 'laita',
                'service': SERVICE,
                'kind': 'a',
                'rack': 'r1-1',
                'cpu': 16000,
                'mem_mb': 64000,
                'lease_ms': LEASE_MS,
                'record': str(self.runs_path),
            }
        settings.update(extra, id=worker_id)
        self.lives[name] = worker_id
        path.write_text(json.dumps(settings))
        self.spawn(name, [sys.executable, str(HERE / 'worker.py'), str(path)])

    # Clients

    def set_allowed(self, allowed):
        settings = {**self.advice, 'allowed': allowed, 'record': str(self.runs_path)}
        (self.dir / 'advice.json').write_text(json.dumps(settings))

    def start_advice(self):
        self.advice_address = self.free('127.0.0.1')
        self.set_allowed([])
        path = self.dir / 'advice.json'
        host, _, port = self.advice_address.rpartition(':')
        command = [sys.executable, str(HERE / 'advice.py'), host, port, str(path)]
        self.spawn('advice', command)

    async def client(self, method, job, front=None, body=None, prefix=PREFIX):
        front = front or self.fronts[0]
        headers = {'Host': HOST_NAME, 'X-Deadline-Ms': '3000'}
        return await call(front, method, prefix + job, body, headers)

    async def submit(self, job, steps, work_ms, front=None, prefix=PREFIX, lasts=False):
        spec = {'lasts': True} if lasts else {'work_ms': work_ms}
        body = {'spec': json.dumps(spec), 'steps': steps}
        status, answer = await self.client('POST', job, front, body, prefix)
        self.say('job handed in', job=job, status=status)
        return status

    async def state(self, job, front=None):
        status, answer = await self.client('GET', job, front)
        return answer['state'] if status == 200 else f'status {status}'

    # Record

    def say(self, event, **fields):
        words = ' '.join(f'{key}={value}' for key, value in fields.items())
        self.lines.append((time.time(), f'{event} {words}'))

    def runs(self):
        rows = []
        for line in self.runs_path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows

    def spans(self):
        """Returns the runs as (task, run, worker, begin, end, how); end is inf if open."""
        open_runs, spans = {}, []
        for row in self.runs():
            key = row.get('task'), row.get('run'), row['worker']
            if row['event'] == 'start':
                open_runs[key] = row['at']
            elif row['event'] == 'end' and key in open_runs:
                spans.append((*key, open_runs.pop(key), row['at'], row['how']))
        for key, began in open_runs.items():
            # What runs on a worker that crashes ends with it.
            ended = self.deaths.get(key[2], float('inf'))
            spans.append((*key, began, ended, 'gone'))
        return spans

    async def until(self, check, seconds, reason):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await check():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(reason)

    def close(self):
        for child in self.children.values():
            child.kill()
        for child in self.children.values():
            child.wait()
        for row in self.runs():
            at = row.pop('at')
            words = ' '.join(f'{key}={value}' for key, value in row.items())
            self.lines.append((at, f'worker: {words}'))
        self.lines.sort()
        text = ''.join(
            f'{at - self.began:8.3f} {line}\n' for at, line in self.lines
        )
        (self.folder / 'record.txt').write_text(text)
        if os.environ.get('KEEP'):
            print('kept', self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not run."""


def run_case(case, play, **options):
    """Plays a case; `play(lab)` returns the sentences that name the broken rule."""

    async def whole():
        lab = Lab(case, **options)
        # Whoever ends the case early still has its processes ended.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        try:
            async with asyncio.timeout(115):
                await lab.start_store()
                broken = await play(lab)
            for sentence in broken:
                lab.say('BROKEN', what=sentence)
            return broken
        except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
            lab.say('cannot run', reason=repr(error))
            print('cannot run:', repr(error))
            return None
        finally:
            for link in lab.links.values():
                link.close()
            await asyncio.sleep(0.1)
            lab.close()

    broken = asyncio.run(whole())
    if broken is None:
        sys.exit(2)
    for sentence in broken:
        print('broken:', sentence)
    print('the rule', 'was broken' if broken else 'held')
    sys.exit(1 if broken else 0)
