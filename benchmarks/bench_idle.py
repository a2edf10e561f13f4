"""Cost of control of idle entry processes against the budget per node.

Starts the stand-ins and the entry processes of the Quimperle fleet, waits until they
are quiet and measures for some seconds. Processor time comes from /proc/PID/stat,
memory from /proc/PID/statm, bytes from the kernel's counters of each TCP connection
(`benchmarks/tcp_bytes.py`): payload sent and received, HTTP and gRPC headers
included, TCP and IP headers not. The bench itself calls the processes only before
and after the measurement. Exits with 1 if a limit is exceeded.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import uvloop
import yaml

from benchmarks.report import describe_machine, write_report
from benchmarks.tcp_bytes import Connection, connections_of
from examples.fleet import QUIMPERLE, Fleet

CPU_LIMIT = 0.01
MEMORY_LIMIT_MB = 256
WIRE_LIMIT_BYTES_PER_S = 2000
QUIET_S = 12
SAMPLE_S = 1
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_UTIME, _STIME = 11, 12


@dataclass(frozen=True)
class Cost:
    """Control of one process.

    Attributes:
        name: The process.
        is_owner: Whether it owns its zone's shard.
        cpu_share: Share of a core.
        memory_mb: Resident memory.
        bytes_per_s: Bytes sent and received, by the other end.
        wakeups_per_s: Voluntary context switches.
    """

    name: str
    is_owner: bool
    cpu_share: float
    memory_mb: float
    bytes_per_s: dict[str, float]
    wakeups_per_s: float

    @property
    def wire(self) -> float:
        """Bytes a second to and from all ends."""
        return sum(self.bytes_per_s.values())

    @property
    def exceeded(self) -> list[str]:
        """Names the limits that are exceeded."""
        checks = {
            'processor': self.cpu_share > CPU_LIMIT,
            'memory': self.memory_mb > MEMORY_LIMIT_MB,
            'wire': self.wire > WIRE_LIMIT_BYTES_PER_S,
        }
        return [name for name, is_exceeded in checks.items() if is_exceeded]


class WireMeter:
    """Adds up the bytes of a process's connections, also of those that close."""

    def __init__(self, pid: int, ends: dict[int, str]) -> None:
        self._pid = pid
        self._ends = ends
        self._known: dict[int, Connection] = connections_of(pid)
        self.totals: Counter[str] = Counter()

    def sample(self) -> None:
        for inode, found in connections_of(self._pid).items():
            former = self._known.get(inode)
            before = former.sent_bytes + former.received_bytes if former else 0
            after = found.sent_bytes + found.received_bytes
            # The remote port of an accepted connection is an ephemeral one.
            end = self._ends.get(found.remote_port) or self._ends.get(found.local_port)
            self.totals[end or 'other'] += after - before
            self._known[inode] = found


def cpu_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[_UTIME]) + int(fields[_STIME])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    return int(Path(f'/proc/{pid}/statm').read_text().split()[1]) * _PAGE_BYTES / 1e6


def wakeups(pid: int) -> int:
    total = 0
    for status in Path(f'/proc/{pid}/task').glob('*/status'):
        for line in status.read_text().splitlines():
            if line.startswith('voluntary_ctxt_switches'):
                total += int(line.split()[1])
    return total


def port_of(url: str) -> int:
    return int(url.rpartition(':')[2])


def name_ends(fleet: Fleet, directory: Path) -> dict[int, str]:
    """Returns what listens on each port."""
    ends = {port_of(fleet.store_url): 'store'}
    ends[port_of(fleet.instances_url)] = 'instance list'
    ends.update((port_of(url), 'workers') for url in fleet.worker_urls.values())
    ends.update((port_of(url), 'http') for url in fleet.entry_urls.values())
    for name in fleet.entries:
        settings: dict[str, Any] = yaml.safe_load(
            (directory / f'{name}.yaml').read_text()
        )
        ends[settings['peer']['port']] = 'peers'
    return ends


async def measure(seconds: float) -> list[Cost]:
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(QUIMPERLE, Path(directory)) as fleet:
            await asyncio.sleep(QUIET_S)
            owners = {await fleet.owner_of(zone) for zone in QUIMPERLE.zones}
            ends = name_ends(fleet, Path(directory))
            # The fleet's own connections would count as the processes' traffic.
            await fleet.http.close()
            costs = await measure_processes(fleet, owners, ends, seconds)
    return costs


async def measure_processes(
    fleet: Fleet, owners: set[str], ends: dict[int, str], seconds: float
) -> list[Cost]:
    pids = {name: program.pid for name, program in fleet.entries.items()}
    meters = {name: WireMeter(pid, ends) for name, pid in pids.items()}
    before = {name: (cpu_seconds(pid), wakeups(pid)) for name, pid in pids.items()}
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        await asyncio.sleep(SAMPLE_S)
        for meter in meters.values():
            meter.sample()
    elapsed = time.monotonic() - started
    return [
        Cost(
            name,
            name in owners,
            (cpu_seconds(pid) - before[name][0]) / elapsed,
            memory_mb(pid),
            {end: total / elapsed for end, total in meters[name].totals.items()},
            (wakeups(pid) - before[name][1]) / elapsed,
        )
        for name, pid in pids.items()
    ]


def print_table(costs: list[Cost]) -> None:
    print(
        f'{"process":16} {"role":9} {"core %":>7} {"MB":>6} {"B/s":>6} {"wakes/s":>8}'
    )
    for cost in sorted(costs, key=lambda one: (not one.is_owner, one.name)):
        role = 'owner' if cost.is_owner else 'other'
        by_end = ', '.join(
            f'{end} {rate:.0f}' for end, rate in sorted(cost.bytes_per_s.items())
        )
        verdict = f'exceeds {", ".join(cost.exceeded)}' if cost.exceeded else 'within'
        print(
            f'{cost.name:16} {role:9} {cost.cpu_share * 100:7.2f} '
            f'{cost.memory_mb:6.0f} {cost.wire:6.0f} {cost.wakeups_per_s:8.1f} '
            f'{verdict} ({by_end})'
        )
    print(
        f'limits: {CPU_LIMIT:.0%} of a core, {MEMORY_LIMIT_MB} MB, '
        f'{WIRE_LIMIT_BYTES_PER_S} B/s'
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--label', default='')
    options = parser.parse_args()
    machine = describe_machine()
    costs = uvloop.run(measure(options.seconds))
    print(json.dumps(machine))
    print_table(costs)
    figures = [{**asdict(cost), 'exceeded': cost.exceeded} for cost in costs]
    write_report(
        'idle', {'label': options.label, 'machine': machine, 'processes': figures}
    )
    return int(any(cost.exceeded for cost in costs))


if __name__ == '__main__':
    sys.exit(main())
