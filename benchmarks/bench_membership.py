"""Network traffic of idle entry processes, and the delay of a configuration change.

Runs peers within one process on 127.0.0.1, each behind a relay that counts bytes.
Prints a table for 2, 3, 6 and 12 entry processes. Bytes are counted in the TCP
streams; the TCP and IP headers of each relayed segment add about 52 bytes, and so
does the acknowledgement that a segment may need.

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
TCP_IP_HEADER_BYTES = 52


class EntryProcess:
    """An entry process without its HTTP server."""

    def __init__(self, name: str, zone: ZoneName, is_watcher: bool) -> None:
        self.name = name
        self.zone = zone
        self.is_watcher = is_watcher
        self.listen_address = free_address()
        self.relay = Relay(self.listen_address)
        self.replica = FakeReplica()

    async def start(self, stack: AsyncExitStack, store: FakeStore) -> None:
        """Starts the peer server, which other peers reach through the relay."""
        await stack.enter_async_context(self.relay)
        owners = m.OwnerTable()
        pool = await stack.enter_async_context(m.PeerPool(CLOCK, Random(self.name)))
        own = m.Peer(EntryId(self.name), self.zone, self.relay.address)
        self.directory = m.PeerDirectory(own)
        sync = m.ConfigSync(self.replica)
        exchange = m.PeerExchange(own, sync, self.directory, owners, pool, CLOCK)
        shard = m.LocalShard(self.zone)
        server = m.PeerServer(self.listen_address, exchange, shard, owners)
        await stack.enter_async_context(server)
        source = m.ConfigSource(store, sync, CLOCK)
        self.follower = m.ConfigFollower(
            exchange, source, self._watches, CLOCK, Random(self.name)
        )

    def instance(self) -> Instance:
        """Returns the entry of the process in the instance list."""
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
    """Runs `count` entry processes and returns a row of the table."""
    store = FakeStore(CLOCK)
    store.polls_per_watch = 300
    store.put('entries/first')
    processes = [
        EntryProcess(
            f'e{index}', ZoneName(f'z{index % zone_count}'), index < zone_count
        )
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
    median_ms, max_ms = statistics.median(delays), max(delays)
    return f'{count:9} {zone_count:5} {idle} {median_ms:11.0f} {max_ms:11.0f}'


async def measure_idle(
    processes: list[EntryProcess], store: FakeStore, seconds: float
) -> str:
    """Returns the rates per process while the store only sees journal writes."""
    bytes_before = sum_over_relays(processes, lambda relay: relay.bytes)
    segments_before = sum_over_relays(processes, lambda relay: relay.segments)
    calls_before = len(store.calls)
    for _ in range(round(seconds * 4)):
        store.put_outside_config()
        await asyncio.sleep(0.25)
    # Each byte counts for the process that sends it and the one that receives it.
    share = 2 / (seconds * len(processes))
    stream_rate = (
        sum_over_relays(processes, lambda relay: relay.bytes) - bytes_before
    ) * share
    segments = (
        sum_over_relays(processes, lambda relay: relay.segments) - segments_before
    )
    header_rate = segments * share * TCP_IP_HEADER_BYTES
    call_rate = (len(store.calls) - calls_before) / seconds
    return f'{stream_rate:10.0f} {stream_rate + header_rate:13.0f} {call_rate:13.2f}'


def sum_over_relays(
    processes: list[EntryProcess], counter: Callable[[Relay], int]
) -> int:
    """Sums a counter over the relays of all processes."""
    return sum(counter(process.relay) for process in processes)


async def measure_change(processes: list[EntryProcess], store: FakeStore) -> float:
    """Returns the time in ms until all processes have applied a change."""
    store.put('entries/first')
    revision = store.revision
    started_at = CLOCK.monotonic()
    pending = set(processes)
    while pending:
        await asyncio.sleep(0.002)
        pending = {
            process
            for process in pending
            if process.replica.held['config/entries/first'].mod_revision < revision
        }
    await asyncio.sleep(0.3)
    elapsed = CLOCK.monotonic() - started_at
    return elapsed.total_seconds() * 1000 - 300


def main() -> None:
    """Runs the benchmark and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--changes', type=int, default=10)
    options = parser.parse_args()
    print('per process: stream B/s, with headers B/s; all: store calls/s; change ms')
    print('processes zones stream_B/s headers_B/s  store_calls/s  median_ms   worst_ms')
    for count, zone_count in ((2, 1), (3, 1), (6, 2), (12, 4)):
        row = measure(count, zone_count, options.seconds, options.changes)
        print(uvloop.run(row), flush=True)


if __name__ == '__main__':
    main()
