"""A process with client accounts, whose store and clock tests control."""

import asyncio
import contextlib
import json
from collections import Counter
from datetime import timedelta
from pathlib import Path

from result import Err

from chiveworks.base import EntryId, Failure, ManualClock, Step, ZoneName
from chiveworks.dispatch.tests.deployment import BOUNDS
from chiveworks.guard import ClientBudget
from chiveworks.metastore import JOB_PREFIX
from chiveworks.platform import _process
from chiveworks.platform._boot_settings import BootSettings
from examples.fleet._ports import LOOPBACK, reserve_ports
from standins.metadata import MemoryMetadataStore

KEYS = {'first': 'gkcuyj8pjbvk9m68k7b2', 'second': 'ex5wa5xwyhks8nbkxxmi'}
#: Time of the clock at which a process starts and sends its first call.
STARTED_AT = timedelta(hours=1)
REVOCATION_LIMIT = timedelta(seconds=5)
BODY = json.dumps({'steps': [{'count': 1, 'cpu': 500, 'mem_mb': 1}]}).encode()


def configuration(version, names=('first', 'second'), **fields):
    """Returns a configuration with a keyed and a public route, as stored."""
    route = {'host': 'h', 'service': 's'}
    content = {
        'version': version,
        'routes': [
            {**route, 'name': 'keyed', 'prefix': '/p/'},
            {**route, 'name': 'open', 'prefix': '/o/', 'public': True},
        ],
        'services': [{'name': 's'}],
        'tenants': [{'name': name, 'api_keys': [KEYS[name]]} for name in names],
        **fields,
    }
    return json.dumps(content).encode()


class ControlledStore(MemoryMetadataStore):
    """Store whose watches and listings can be cut off; counts the calls.

    Attributes:
        cut: Whether watches and listings fail.
        calls: Numbers of reads and transactions.
    """

    available = True
    silence = timedelta()

    def __init__(self, clock):
        super().__init__(clock)
        self.cut = False
        self.calls = Counter()

    async def read(self, key, *, stale=False):
        self.calls['read'] += 1
        return await super().read(key, stale=stale)

    async def commit(self, transaction):
        self.calls['commit'] += 1
        return await super().commit(transaction)

    async def read_all(self, prefix):
        return _LOST if self.cut else await super().read_all(prefix)

    async def watch(self, prefix, after, wait):
        return _LOST if self.cut else await super().watch(prefix, after, wait)

    async def close(self):
        """Does nothing, as there are no connections."""

    def jobs(self):
        """Returns the stored records of jobs, by key."""
        return {
            key: item.content
            for key, item in self.items.items()
            if key.startswith(JOB_PREFIX)
        }


class Connection:
    """An HTTP connection of a client, which stays open between its calls."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    def begin(self, method, path, key=None, *, length=0, header=None):
        """Sends the header section of a request."""
        lines = [f'{method} {path} HTTP/1.1', 'Host: h', f'Content-Length: {length}']
        if key is not None:
            lines.append(f'Authorization: Bearer {key}')
        if header is not None:
            lines.append(header)
        self.send('\r\n'.join([*lines, '', '']).encode())

    def send(self, content):
        """Sends a part of a request."""
        self._writer.write(content)

    async def response(self):
        """Returns the status, the headers and the body of a response."""
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode()
        status_line, *lines = head.strip().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines)
        body = await self._reader.readexactly(int(headers['Content-Length']))
        return int(status_line.split()[1]), headers, body

    async def call(self, method, path, key=None, *, body=b'', header=None):
        """Sends a request; returns the status and the headers of its response."""
        self.begin(method, path, key, length=len(body), header=header)
        self.send(body)
        status, headers, _body = await self.response()
        return status, headers

    async def status(self, method, path, key=None, *, body=b''):
        """Sends a request; returns the status of its response."""
        return (await self.call(method, path, key, body=body))[0]

    def close(self):
        self._writer.close()


class KeyedProcess:
    """A process that serves clients but neither leads nor follows by itself.

    Args:
        monkeypatch: Replaces the clock and the store of the process.
        limit: Limit of revocations in its settings.
    """

    def __init__(self, monkeypatch, limit):
        self.clock = ManualClock()
        self.clock.shift(STARTED_AT)
        self.store = ControlledStore(self.clock)
        monkeypatch.setattr(_process, 'SystemClock', lambda: self.clock)
        monkeypatch.setattr(_process, 'HttpMetadataStore', lambda *_args: self.store)
        self._stack = contextlib.AsyncExitStack()
        self._port, ready_port, metrics_port = reserve_ports(3, self._stack)
        monkeypatch.setattr(_process, 'METRICS_PORT', metrics_port)
        settings = BootSettings(
            EntryId('p'),
            ZoneName('z'),
            (LOOPBACK, self._port),
            (LOOPBACK, ready_port),
            *('h:1', '', 'h:2'),
            1.0,
            timedelta(seconds=6),
            BOUNDS,
            ClientBudget.derive(200, 4100),
            limit,
        )
        self.process = _process.PlatformProcess(settings, Path('unused'))

    async def listen(self):
        """Serves clients."""
        await self.process._listen(self._stack)

    async def connect(self):
        """Opens a connection of a client."""
        streams = await asyncio.open_connection(LOOPBACK, self._port)
        connection = Connection(*streams)
        self._stack.callback(connection.close)
        return connection

    async def follow(self, content=None):
        """Lets the process list or watch the operators' keys once.

        Args:
            content: New configuration, if there is one.
        """
        if content is not None:
            self.store.put('op/config', content)
        step = asyncio.create_task(self.process._operator_entries.step())
        while not step.done():
            await self.clock.advance(timedelta(milliseconds=5))

    async def close(self):
        await self._stack.aclose()


_LOST = Err(Failure.not_run(Step.CONNECT, 'store', 'cut off'))
