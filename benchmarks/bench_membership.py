"""Wire cost of idle entry processes, and the time until a change is in force.

Runs in-process peers on 127.0.0.1, each behind a relay that counts bytes. Prints
a table for 2, 3, 6 and 12 processes. The bytes are those of the TCP streams; each
relayed segment costs about 52 bytes more in TCP and IP headers, and so does the
acknowledgement that it may need.

Run with `python -m benchmarks.bench_membership [--seconds 20] [--changes 10]`.
"""

import argparse
import asyncio
import statistics
from collections.abc import Callable
from contextlib import AsyncExitStack
from random import Random

import uvloop

from chiveworks import membership as m
from chiveworks.base import EntryId, RackName, SystemClock, ZoneName
from chiveworks.instances import Instance, InstanceRole, InstanceState
from chiveworks.membership.tests.fakes import FakeReplica, FakeStore
from chiveworks.membership.tests.relay import Relay
from chiveworks.membership.tests.support import free_address

CLOCK = SystemClock()
HEADER_BYTES = 52


class Process:
    """An entry process without its HTTP side."""

    def __init__(self, name: str, zone: ZoneName, is_watcher: bool) -> None:
        self.name = name
        self.zone = zone
        self.is_watcher = is_watcher
        self.listens_at = free_address()
        self.relay = Relay(self.listens_at)
        self.replica = FakeReplica()

    async def start(self, stack: AsyncExitStack, store: FakeStore) -> None:
        """Starts the server; peers reach it through the relay."""
        await stack.enter_async_context(self.relay)
        owners = m.OwnerTable()
        pool = await stack.enter_async_context(m.PeerPool(CLOCK, Random(self.name)))
        own = m.Peer(EntryId(self.name), self.zone, self.relay.address)
        self.directory = m.PeerDirectory(own)
        sync = m.ConfigSync(self.replica)
        exchange = m.PeerExchange(own, sync, self.directory, owners, pool, CLOCK)
        shard = m.LocalShard(self.zone)
        server = m.PeerServer(self.listens_at, exchange, shard, owners)
        await stack.enter_async_context(server)
        source = m.ConfigSource(store, sync, CLOCK)
        self.follower = m.ConfigFollower(
            exchange, source, self._watches, CLOCK, Random(self.name)
        )

    def instance(self) -> Instance:
        """Returns the process's line in the instance list."""
        return Instance(
            instance_id=self.name,
            role=InstanceRole.ENTRY,
            zone=self.zone,
            rack=RackName(''),
            state=InstanceState.LIVE,
            peer_address=self.relay.address,
        )

    def _watches(self) -> bool:
        return self.is_watcher


async def measure(count: int, zone_count: int, seconds: float, changes: int) -> str:
    """Runs `count` processes and returns a line of the table."""
    store = FakeStore(CLOCK)
    store.polls_per_watch = 300
    store.put('entries/first')
    processes = [
        Process(f'e{index}', ZoneName(f'z{index % zone_count}'), index < zone_count)
        for index in range(count)
    ]
    async with AsyncExitStack() as stack:
        tasks = []
        for process in processes:
            await process.start(stack, store)
        for process in processes:
            process.directory.update(peer.instance() for peer in processes)
            tasks.append(asyncio.create_task(process.follower.run()))
        await asyncio.gather(*(process.follower.wait_ready() for process in processes))
        await asyncio.sleep(3)
        idle = await measure_idle(processes, store, seconds)
        delays = [await measure_change(processes, store) for _ in range(changes)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    middle, worst = statistics.median(delays), max(delays)
    return f'{count:9} {zone_count:5} {idle} {middle:11.0f} {worst:11.0f}'


async def measure_idle(
    processes: list[Process], store: FakeStore, seconds: float
) -> str:
    """Returns the rates per process while only journal writes happen."""
    begin = total(processes, lambda relay: relay.bytes)
    begin_segments = total(processes, lambda relay: relay.segments)
    begin_calls = len(store.calls)
    for _ in range(round(seconds * 4)):
        store.put_outside_config()
        await asyncio.sleep(0.25)
    # What one process sends, another receives: each byte counts at both ends.
    share = 2 / (seconds * len(processes))
    stream = (total(processes, lambda relay: relay.bytes) - begin) * share
    segments = total(processes, lambda relay: relay.segments) - begin_segments
    headers = segments * share * HEADER_BYTES
    calls = (len(store.calls) - begin_calls) / seconds
    return f'{stream:10.0f} {stream + headers:13.0f} {calls:13.2f}'


def total(processes: list[Process], figure: Callable[[Relay], int]) -> int:
    """Sums a figure over the relays of all processes."""
    return sum(figure(process.relay) for process in processes)


async def measure_change(processes: list[Process], store: FakeStore) -> float:
    """Returns the milliseconds until a change is in force everywhere."""
    store.put('entries/first')
    revision = store.revision
    begin = CLOCK.monotonic()
    pending = set(processes)
    while pending:
        await asyncio.sleep(0.002)
        pending = {
            process
            for process in pending
            if process.replica.held['config/entries/first'].mod_revision < revision
        }
    await asyncio.sleep(0.3)
    elapsed = CLOCK.monotonic() - begin
    return elapsed.total_seconds() * 1000 - 300


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--changes', type=int, default=10)
    options = parser.parse_args()
    print('per process: stream B/s, with headers B/s; all: store calls/s; change ms')
    print('processes zones stream_B/s headers_B/s  store_calls/s  median_ms   worst_ms')
    for count, zone_count in ((2, 1), (3, 1), (6, 2), (12, 4)):
        line = measure(count, zone_count, options.seconds, options.changes)
        print(uvloop.run(line), flush=True)


if __name__ == '__main__':
    main()
