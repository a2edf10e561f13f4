"""Processor time that the guard of clients adds to a small request in calm.

A plain server and a guarded one run in this process with the same handler, and a child
process is their client. Their batches alternate within one run, so that both are
measured under the same conditions. The handler does nothing else, so the difference
in microseconds counts, not the ratio: a job submission takes about 900.
"""

import asyncio
import socket
import statistics
import sys
import time
from contextlib import AsyncExitStack

import uvloop
from aiohttp import web

from chiveworks.base import SystemClock
from chiveworks.guard import (
    ClientBudget,
    GuardedServer,
    TurnAwayCounts,
    listen,
    read_body,
)
from chiveworks.intake import IntakeLimits

HOST = '127.0.0.1'
REQUEST = b'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n' + b' ' * 300
ANSWER = b'{}'
ROUNDS = 15
REQUESTS = 500


async def answer(request: web.BaseRequest) -> web.Response:
    await read_body(request)
    return web.Response(body=ANSWER)


def send_batches() -> None:
    """Sends a batch for each line of the input: port, and whether to reconnect."""
    for line in sys.stdin:
        port, reconnects = map(int, line.split())
        connection = socket.create_connection((HOST, port))
        for _ in range(REQUESTS):
            connection.sendall(REQUEST)
            received = b''
            while not received.endswith(ANSWER):
                received += connection.recv(4096)
            if reconnects:
                connection.close()
                connection = socket.create_connection((HOST, port))
        connection.close()
        print(flush=True)


async def measure(
    client: asyncio.subprocess.Process, port: int, reconnects: int
) -> float:
    """Returns the processor time of a request in microseconds."""
    assert client.stdin is not None and client.stdout is not None
    started = time.process_time()
    client.stdin.write(f'{port} {reconnects}\n'.encode())
    await client.stdout.readline()
    return (time.process_time() - started) / REQUESTS * 1e6


async def run() -> None:
    async with AsyncExitStack() as stack:
        runner = web.ServerRunner(web.Server(answer, access_log=None))
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, HOST, 0).start()
        guarded = GuardedServer(
            answer,
            ClientBudget.derive(200, 4100),
            IntakeLimits,
            SystemClock(),
            TurnAwayCounts(),
        )
        ports = {
            'plain': runner.addresses[0][1],
            'guarded': await listen(guarded, (HOST, 0), 512, stack),
        }
        client = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            'from benchmarks.bench_client_guard import send_batches; send_batches()',
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        for reconnects, name in enumerate(('open connection', 'new connection')):
            costs: dict[str, list[float]] = {server: [] for server in ports}
            for _ in range(ROUNDS):
                for server, port in ports.items():
                    costs[server].append(await measure(client, port, reconnects))
            medians = {key: round(statistics.median(row)) for key, row in costs.items()}
            print(f'{name}: {medians} µs of processor time per request')
        client.terminate()
        await client.wait()


if __name__ == '__main__':
    uvloop.run(run())
