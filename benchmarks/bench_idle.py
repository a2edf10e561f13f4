"""Resource use of idle entry processes, compared with the limits per node.

Starts the stand-ins and the entry processes of the Quimperle fleet, waits until their
start-up work is done and measures for some seconds. CPU time is read from
/proc/PID/stat, memory from /proc/PID/statm, and traffic from the byte counters that
the kernel keeps for each TCP connection (`benchmarks/tcp_bytes.py`). Traffic includes
HTTP and gRPC headers, but not TCP and IP headers. The benchmark sends no requests to
the processes during the measurement. Exits with 1 if a limit is exceeded.
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
TRAFFIC_LIMIT_BYTES_PER_S = 2000
SETTLE_S = 12
SAMPLE_INTERVAL_S = 1
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_UTIME_FIELD, _STIME_FIELD = 11, 12


@dataclass(frozen=True)
class Cost:
    """Resource use of one entry process.

    Attributes:
        name: Name of the process.
        is_owner: Whether the process owns the shard of its zone.
        cpu_share: CPU time as a share of one core.
        memory_mb: Resident memory.
        bytes_per_s: Bytes sent and received, by the other end of the connection.
        wakeups_per_s: Voluntary context switches.
    """

    name: str
    is_owner: bool
    cpu_share: float
    memory_mb: float
    bytes_per_s: dict[str, float]
    wakeups_per_s: float

    @property
    def total_bytes_per_s(self) -> float:
        """Bytes per second sent and received on all connections."""
        return sum(self.bytes_per_s.values())

    @property
    def exceeded_limits(self) -> list[str]:
        """Names of the limits that are exceeded."""
        checks = {
            'processor': self.cpu_share > CPU_LIMIT,
            'memory': self.memory_mb > MEMORY_LIMIT_MB,
            'wire': self.total_bytes_per_s > TRAFFIC_LIMIT_BYTES_PER_S,
        }
        return [name for name, is_exceeded in checks.items() if is_exceeded]


class TrafficMeter:
    """Sums the bytes of all connections of a process, including closed ones.

    Args:
        pid: Process ID.
        port_names: What listens on each port.
    """

    def __init__(self, pid: int, port_names: dict[int, str]) -> None:
        self._pid = pid
        self._port_names = port_names
        self._last_seen: dict[int, Connection] = connections_of(pid)
        self.totals: Counter[str] = Counter()

    def sample(self) -> None:
        for inode, connection in connections_of(self._pid).items():
            previous = self._last_seen.get(inode)
            before = previous.sent_bytes + previous.received_bytes if previous else 0
            after = connection.sent_bytes + connection.received_bytes
            # The remote port of an accepted connection is an ephemeral one.
            end = self._port_names.get(connection.remote_port) or self._port_names.get(
                connection.local_port
            )
            self.totals[end or 'other'] += after - before
            self._last_seen[inode] = connection


def cpu_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    return int(Path(f'/proc/{pid}/statm').read_text().split()[1]) * _PAGE_BYTES / 1e6


def voluntary_switches(pid: int) -> int:
    total = 0
    for status in Path(f'/proc/{pid}/task').glob('*/status'):
        for line in status.read_text().splitlines():
            if line.startswith('voluntary_ctxt_switches'):
                total += int(line.split()[1])
    return total


def port_of(url: str) -> int:
    return int(url.rpartition(':')[2])


def name_ports(fleet: Fleet, directory: Path) -> dict[int, str]:
    """Returns the name of the service that listens on each port."""
    port_names = {port_of(fleet.store_url): 'store'}
    port_names[port_of(fleet.instances_url)] = 'instance list'
    port_names.update((port_of(url), 'workers') for url in fleet.worker_urls.values())
    port_names.update((port_of(url), 'http') for url in fleet.entry_urls.values())
    for name in fleet.entries:
        settings: dict[str, Any] = yaml.safe_load(
            (directory / f'{name}.yaml').read_text()
        )
        port_names[settings['peer']['port']] = 'peers'
    return port_names


async def measure(seconds: float) -> list[Cost]:
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(QUIMPERLE, Path(directory)) as fleet:
            await asyncio.sleep(SETTLE_S)
            owners = {await fleet.owner_of(zone) for zone in QUIMPERLE.zones}
            port_names = name_ports(fleet, Path(directory))
            # The connections of this process would count as traffic of the fleet.
            await fleet.http.close()
            costs = await measure_processes(fleet, owners, port_names, seconds)
    return costs


async def measure_processes(
    fleet: Fleet, owners: set[str], port_names: dict[int, str], seconds: float
) -> list[Cost]:
    pids = {name: program.pid for name, program in fleet.entries.items()}
    meters = {name: TrafficMeter(pid, port_names) for name, pid in pids.items()}
    before = {
        name: (cpu_seconds(pid), voluntary_switches(pid)) for name, pid in pids.items()
    }
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
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
            (voluntary_switches(pid) - before[name][1]) / elapsed,
        )
        for name, pid in pids.items()
    ]


def print_table(costs: list[Cost]) -> None:
    print(
        f'{"process":16} {"role":9} {"core %":>7} {"MB":>6} {"B/s":>6} {"wakes/s":>8}'
    )
    for cost in sorted(costs, key=lambda item: (not item.is_owner, item.name)):
        role = 'owner' if cost.is_owner else 'other'
        by_end = ', '.join(
            f'{end} {rate:.0f}' for end, rate in sorted(cost.bytes_per_s.items())
        )
        verdict = (
            f'exceeds {", ".join(cost.exceeded_limits)}'
            if cost.exceeded_limits
            else 'within'
        )
        print(
            f'{cost.name:16} {role:9} {cost.cpu_share * 100:7.2f} '
            f'{cost.memory_mb:6.0f} {cost.total_bytes_per_s:6.0f} '
            f'{cost.wakeups_per_s:8.1f} {verdict} ({by_end})'
        )
    print(
        f'limits: {CPU_LIMIT:.0%} of a core, {MEMORY_LIMIT_MB} MB, '
        f'{TRAFFIC_LIMIT_BYTES_PER_S} B/s'
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
    figures = [{**asdict(cost), 'exceeded': cost.exceeded_limits} for cost in costs]
    write_report(
        'idle', {'label': options.label, 'machine': machine, 'processes': figures}
    )
    return int(any(cost.exceeded_limits for cost in costs))


if __name__ == '__main__':
    sys.exit(main())
