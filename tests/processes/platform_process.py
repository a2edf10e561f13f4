"""A process of the platform with a store stand-in, as the tests of floods need it."""

import asyncio
import base64
import contextlib
import json
import os
import sys
import time
from pathlib import Path

import aiohttp
import psutil

from chiveworks.platform.__main__ import SETTINGS_VARIABLE
from chiveworks.platform._process import METRICS_PORT
from examples.fleet._ports import LOOPBACK, reserve_ports
from examples.fleet._program import Program

FRONT_PORT = 8080
READY_PORT = 8081
READY_LIMIT_S = 60
CALL_LIMIT_S = 60
#: Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
MEGABYTE = 1_000_000
ORDINARY_JOB = json.dumps(
    {'spec': 'x' * 300, 'steps': [{'count': 1, 'cpu': 100, 'mem_mb': 1}]}
).encode()
CONFIG = {
    'version': 1,
    'routes': [
        {'name': 'q', 'service': 's', 'host': 'clients.example', 'prefix': '/q/'}
    ],
    'services': [{'name': 's'}],
}


class PlatformProgram(Program):
    """The platform process; its settings file is in its environment."""

    def __init__(self, settings, log):
        super().__init__('platform', ('-m', 'chiveworks.platform'), log)
        self._environment = {**os.environ, SETTINGS_VARIABLE: str(settings)}

    async def start(self):
        with self._log_path.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                stdout=output,
                stderr=output,
                stdin=asyncio.subprocess.DEVNULL,
                env=self._environment,
            )


class PlatformUnderTest:
    """A running process of the platform, and what its machine allows it."""

    def __init__(self, program, host, memory_mb, max_fds, log):
        self.host = host
        self.memory_limit = memory_mb * MEGABYTE
        self.descriptor_limit = max_fds - FILE_DESCRIPTORS
        self.log = log
        self._program = program
        self._job_number = 0

    @property
    def pid(self):
        return self._program.pid

    @property
    def alive(self):
        return self._program.returncode is None

    def next_path(self):
        """Returns the path of a job that was not submitted before."""
        self._job_number += 1
        return f'/q/{self._job_number:016x}'

    async def submit(self, session, body=ORDINARY_JOB):
        """Submits a job; returns the status and when to come back."""
        status, retry_after, _text = await self.submit_in_full(session, body)
        return status, retry_after

    async def submit_in_full(self, session, body):
        """Submits a job; returns the status, when to come back, and the response."""
        url = f'http://{self.host}:{FRONT_PORT}{self.next_path()}'
        headers = {'Host': 'clients.example'}
        async with session.post(url, data=body, headers=headers) as response:
            text = await response.text()
            return response.status, response.headers.get('Retry-After'), text

    async def submit_until_answered(self):
        """Submits a job on new connections until a submission gets an answer."""
        deadline = time.monotonic() + CALL_LIMIT_S
        while True:
            try:
                async with open_session() as session:
                    return await self.submit(session)
            except (aiohttp.ClientError, TimeoutError) as error:
                if time.monotonic() > deadline or not self.alive:
                    return type(error).__name__, None
                await asyncio.sleep(0.2)

    async def submit_until_accepted(self):
        """Submits jobs until one is accepted; returns the last answer."""
        deadline = time.monotonic() + CALL_LIMIT_S
        while True:
            answer = await self.submit_until_answered()
            if answer[0] == 200 or time.monotonic() > deadline or not self.alive:
                return answer[0]
            await asyncio.sleep(0.2)

    async def status_of(self, port, path='/'):
        """Returns the status of an operators' listener."""
        try:
            async with open_session() as session:
                async with session.get(f'http://{self.host}:{port}{path}') as response:
                    await response.read()
                    return response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            return type(error).__name__

    async def turned_away(self):
        """Returns the lines of the metrics about clients that were turned away."""
        async with open_session() as session:
            async with session.get(f'http://{self.host}:{METRICS_PORT}/') as response:
                lines = (await response.text()).splitlines()
        prefix = 'chiveworks_clients_turned_away'
        return [
            line
            for line in lines
            if line.startswith(prefix) and not line.endswith(' 0.0')
        ]


def open_session():
    timeout = aiohttp.ClientTimeout(total=CALL_LIMIT_S / 2)
    return aiohttp.ClientSession(timeout=timeout)


class ResourceMeter:
    """Largest resident memory, unread bytes and descriptors of a process.

    The platform counts received but unread bytes as memory of the process; the kernel
    reports them by socket.
    """

    def __init__(self, platform):
        self._process = psutil.Process(platform.pid)
        self._address = encode_address(platform.host)
        self.memory = 0
        self.unread = 0
        self.descriptors = 0

    def sample(self):
        with contextlib.suppress(psutil.NoSuchProcess):
            resident = self._process.memory_info().rss
            unread = self._unread_bytes()
            self.unread = max(self.unread, unread)
            self.memory = max(self.memory, resident + unread)
            self.descriptors = max(self.descriptors, self._process.num_fds())

    def _unread_bytes(self):
        total = 0
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            # State 0A is a listener, whose queue counts connections.
            if fields[1].startswith(self._address) and fields[3] != '0A':
                total += int(fields[4].partition(':')[2], 16)
        return total

    async def run(self):
        while True:
            await asyncio.to_thread(self.sample)
            await asyncio.sleep(0.02)


def encode_address(host):
    """Returns an IPv4 address as in /proc/net/tcp."""
    parts = [int(part) for part in host.split('.')]
    return int.from_bytes(bytes(parts), sys.byteorder).to_bytes(4, 'big').hex().upper()


@contextlib.asynccontextmanager
async def run_platform(tmp_path, memory_mb, max_fds, config=CONFIG):
    """Runs a store stand-in and a process of the platform until it is ready."""
    reservations = contextlib.ExitStack()
    (store_port,) = reserve_ports(1, reservations)
    # The port of the metrics is fixed, so each test process has a host of its own.
    pid = os.getpid()
    host = f'127.{64 + (pid >> 16 & 0x3F)}.{pid >> 8 & 0xFF}.{pid & 0xFF}'
    settings = tmp_path / 'boot.toml'
    settings.write_text(
        f'node = "n1"\nzone = "z1"\nadvice = "{LOOPBACK}:{store_port}"\n'
        f'[listen]\nfront = "{host}:{FRONT_PORT}"\nready = "{host}:{READY_PORT}"\n'
        f'[limits]\ncpu_share = 1.0\ncores = 1\n'
        f'memory_mb = {memory_mb}\nmax_fds = {max_fds}\n'
        f'[bounds]\ngrace_s = 6\nhold_max_ms = 6000\nstop_ms = 1000\nearly_ms = 250\n'
        f'[platform]\naddress = "{LOOPBACK}:{store_port}"\n'
    )
    store_arguments = ('-m', 'standins.metadata', '--port', str(store_port))
    store = Program('store', store_arguments, tmp_path / 'store.log')
    program = PlatformProgram(settings, tmp_path / 'platform.log')
    platform = PlatformUnderTest(
        program, host, memory_mb, max_fds, tmp_path / 'platform.log'
    )
    with reservations:
        await store.start()
        try:
            await _put_config(store_port, config)
            await program.start()
            try:
                await _wait_ready(platform)
                yield platform
            finally:
                await program.stop()
        finally:
            await store.stop()


async def _put_config(store_port, config):
    content = base64.b64encode(json.dumps(config).encode()).decode()
    write = {'key': 'op/config', 'value': content, 'lease': 0}
    url = f'http://{LOOPBACK}:{store_port}/v1/kv-txn'
    deadline = time.monotonic() + READY_LIMIT_S
    while True:
        try:
            async with aiohttp.ClientSession() as session:
                async with session.post(url, json={'writes': [write]}) as response:
                    assert response.status == 200
                    return
        except aiohttp.ClientError:
            assert time.monotonic() < deadline
            await asyncio.sleep(0.1)


async def _wait_ready(platform):
    deadline = time.monotonic() + READY_LIMIT_S
    while await platform.status_of(READY_PORT) != 200:
        assert platform.alive, platform.log.read_text()
        assert time.monotonic() < deadline, platform.log.read_text()
        await asyncio.sleep(0.1)
    assert await platform.status_of(METRICS_PORT) == 200
