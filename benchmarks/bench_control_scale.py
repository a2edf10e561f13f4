"""Cost of the control plane as a function of its size.

Every cost is measured at several sizes. `slope` and `base` are the coefficients of a
straight line fitted to the points. `exponent` is the slope on logarithmic axes: 0 if
the cost does not depend on the size, 1 if it is proportional to the size. Store calls
are counted in the engine of the store stand-in. Bytes are read from the counters that
the kernel keeps for each connection (TCP_INFO), so they include HTTP headers but not
TCP and IP headers.
"""

import argparse
import asyncio
import gc
import json
import math
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import ExitStack, suppress
from dataclasses import asdict, dataclass
from datetime import datetime, timedelta, timezone
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import aiohttp
import numpy as np
import uvloop
from result import Ok

from benchmarks.report import describe_machine, write_report
from benchmarks.tcp_bytes import transport_bytes
from chiveworks.base import (
    Attempt,
    BootId,
    EntryId,
    EntryName,
    Epoch,
    JobId,
    ManualClock,
    RackName,
    Resources,
    Revision,
    ServiceClass,
    SystemClock,
    TaskId,
    TenantName,
    TicketMs,
    WorkerId,
    ZoneName,
)
from chiveworks.base._http_response import HttpResponse
from chiveworks.catalogue import (
    CatalogueEditor,
    CatalogueEntry,
    CatalogueReplica,
    ConfigItem,
    Priority,
    entry_key,
)
from chiveworks.entry._instance_watcher import InstanceWatcher
from chiveworks.instances import (
    Instance,
    InstanceList,
    InstanceRole,
    InstanceSnapshot,
    InstanceState,
)
from chiveworks.instances._http_instance_list import _decode as decode_list
from chiveworks.instances._http_instance_list import _encode as encode_instance
from chiveworks.jobs import (
    JobAccepted,
    JobRecord,
    JobStore,
    TaskClaimed,
    TaskEnded,
    TaskRecord,
    TaskSpec,
    TaskTable,
    decode_change,
    encode_change,
    job_id_of,
    task_id_of,
)
from chiveworks.journal import Journal
from chiveworks.membership import ShardClient, TaskState
from chiveworks.placement import Quarantine, SizeEstimator
from chiveworks.routing import EndpointTable, RoutingSettings
from chiveworks.scheduler import GroupCommitter, Reconciler, SchedulerTimings, Tenure
from chiveworks.scheduler._background_tasks import BackgroundTasks
from chiveworks.scheduler._fleet import Fleet
from chiveworks.scheduler._job_closer import JobCloser
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.scheduler._shard_metrics import ShardMetrics
from chiveworks.scheduler._zone_evacuation import ZoneEvacuation
from chiveworks.scheduler.tests.shard_bench import ShardBench
from chiveworks.workers import (
    HttpWorkerControl,
    Renewal,
    ReportedState,
    StartOrder,
    TaskReport,
    UsageSample,
    WorkerReport,
)
from examples.fleet import Program
from examples.fleet._ports import LOOPBACK, reserve_ports
from standins.store import MemoryStore, StoreEngine

ZONE = ZoneName('laita')
TASKS_PER_JOB = 10
WORKERS_PER_SHARD = 300
TASK_RESOURCES = Resources(1000, 1 << 30, 0)
NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
TASKS_PER_SHARD = (100, 400, 1600, 6400, 25_600)
JOBS_PER_DAY = 180_000
REPEATS = 5


@dataclass(frozen=True)
class Curve:
    """A cost at several sizes.

    Attributes:
        role: Component in which the cost arises.
        cost: Name of the cost, with its unit.
        size: Name of the size that was varied.
        points: Pairs of size and cost.
    """

    role: str
    cost: str
    size: str
    points: list[tuple[float, float]]

    @property
    def linear_fit(self) -> tuple[float, float]:
        """Slope and base of the straight line with the least relative errors."""
        sizes, costs = (np.array(column, float) for column in zip(*self.points))
        weights = 1 / np.maximum(costs, costs.max() / 1e4)
        slope, base = np.polyfit(sizes, costs, 1, w=weights)
        return float(slope), float(base)

    @property
    def exponent(self) -> float:
        """Slope on logarithmic axes, fitted to the upper half of the sizes."""
        upper = self.points[len(self.points) // 2 - 1 :]
        upper = [point for point in upper if min(point) > 0]
        if len(upper) < 2:
            return math.nan
        sizes, costs = (np.log(column) for column in zip(*upper))
        return float(np.polyfit(sizes, costs, 1)[0])

    def report(self) -> dict:
        """Returns the fields of the JSON report."""
        slope, base = self.linear_fit
        return {**asdict(self), 'slope': slope, 'base': base, 'exponent': self.exponent}


def min_cpu_ms(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Returns the shortest CPU time of several repeats."""
    cpu_s = []
    for _ in range(repeats):
        gc.collect()
        started = time.process_time()
        work()
        cpu_s.append(time.process_time() - started)
    return min(cpu_s) * 1000


def cpu_us_per_call(work: Callable[[], object], min_total_s: float = 0.05) -> float:
    """Returns the CPU time of a short operation.

    The number of calls is doubled until they take long enough to be measured.
    """
    count = 1
    while True:
        started = time.process_time()
        for _ in range(count):
            work()
        cpu_s = time.process_time() - started
        if cpu_s > min_total_s:
            return cpu_s / count * 1e6
        count *= 2


def make_job(number: int, tasks: int, state: TaskState) -> JobRecord:
    job_id = JobId(f'regie.{number:032x}')
    spec = TaskSpec('recalculation', 'billing', 'recalculation', TASK_RESOURCES)
    records = [
        TaskRecord(task_id_of(job_id, index), '{"reading": 123456789}')
        for index in range(tasks)
    ]
    if state is not TaskState.QUEUED:
        for index, task in enumerate(records):
            task.state = state
            task.attempt = Attempt(1)
            task.worker = worker_id_for(number * tasks + index)
            task.boot_id = BootId('f' * 32)
            task.reserved = TASK_RESOURCES
    return JobRecord(
        job_id,
        TenantName('regie'),
        f'job-{number}',
        'd' * 32,
        'n' * 24,
        spec,
        ZONE,
        0,
        NOW,
        records,
    )


def worker_id_for(number: int) -> WorkerId:
    return WorkerId(f'laita-w{number % WORKERS_PER_SHARD}')


def make_table(tasks: int, state: TaskState = TaskState.RUNNING) -> TaskTable:
    table = TaskTable()
    for number in range(tasks // TASKS_PER_JOB):
        table.apply(JobAccepted(make_job(number, TASKS_PER_JOB, state)))
    return table


def make_claims(table: TaskTable) -> list[TaskClaimed]:
    return [
        TaskClaimed(
            task_id,
            Attempt(1),
            worker_id_for(number),
            BootId('f' * 32),
            Resources(1000),
        )
        for number, task_id in enumerate(table.tasks)
    ]


def make_store() -> MemoryStore:
    clock = SystemClock()
    return MemoryStore(StoreEngine(clock), clock)


def open_journal(store: MemoryStore) -> Journal:
    return Journal(store, ZONE, SystemClock(), np.random.default_rng(1))


async def measure_journal() -> list[Curve]:
    encoding, appending, sizes = [], [], []
    for count in (1, 10, 50, 230, 1000):
        claims = make_claims(make_table(max(count, TASKS_PER_JOB), TaskState.QUEUED))
        claims = claims[:count]
        encoded = tuple(encode_change(claim) for claim in claims)
        journal = open_journal(make_store())
        await journal.open(Epoch(1), ())
        cpu_s = []
        for _ in range(100):
            started = time.process_time()
            await journal.append(encoded)
            cpu_s.append(time.process_time() - started)
        encode_us = cpu_us_per_call(lambda: [encode_change(claim) for claim in claims])
        encoding.append((count, encode_us))
        appending.append((count, float(np.median(cpu_s)) * 1e6))
        sizes.append((count, float(sum(map(len, encoded)))))
    return [
        Curve('journal', 'encode, us', 'changes per record', encoding),
        Curve('journal', 'append one record, us', 'changes per record', appending),
        Curve('journal', 'record, bytes', 'changes per record', sizes),
    ]


async def measure_replay() -> list[Curve]:
    encoding, sizes, replay, memory = [], [], [], []
    for tasks in TASKS_PER_SHARD:
        store = make_store()
        journal = open_journal(store)
        await journal.open(Epoch(1), ())
        table = make_table(tasks)
        encoding.append(
            (
                tasks,
                min_cpu_ms(
                    lambda: [encode_change(change) for change in table.snapshot()]
                ),
            )
        )
        encoded = tuple(encode_change(change) for change in table.snapshot())
        await journal.write_snapshot(encoded)
        sizes.append((tasks, float(sum(map(len, encoded)))))
        new_journal = open_journal(store)
        replayed = await new_journal.open(Epoch(2), ())
        gc.collect()
        tracemalloc.start()
        rebuilt = TaskTable()
        for stored in replayed.unwrap().changes:
            rebuilt.apply(decode_change(stored))
        memory.append((tasks, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        replay.append((tasks, await replay_ms(store)))
    return [
        Curve('shard owner', 'encode a snapshot, ms', 'tasks', encoding),
        Curve('shard owner', 'snapshot, bytes', 'tasks', sizes),
        Curve('shard owner', 'read and replay, ms', 'tasks', replay),
        Curve('shard owner', 'task table, bytes', 'tasks', memory),
    ]


async def replay_ms(store: MemoryStore) -> float:
    cpu_s = []
    for epoch in range(3, 3 + REPEATS):
        started = time.process_time()
        journal = open_journal(store)
        replayed = await journal.open(Epoch(epoch), ())
        table = TaskTable()
        for stored in replayed.unwrap().changes:
            table.apply(decode_change(stored))
        cpu_s.append(time.process_time() - started)
    return min(cpu_s) * 1000


async def measure_group_commit() -> list[Curve]:
    """Measures claims and ends committed per CPU second, up to 230 in a commit."""
    points = []
    for tasks in TASKS_PER_SHARD:
        table = make_table(tasks, TaskState.QUEUED)
        journal = open_journal(make_store())
        await journal.open(Epoch(1), ())
        committer = GroupCommitter(journal, table, SystemClock(), timedelta(0))
        running = asyncio.create_task(committer.run())
        claims = make_claims(table)[:5000]
        started = time.process_time()
        for first in range(0, len(claims), 230):
            batch = claims[first : first + 230]
            await committer.commit(*batch)
            await committer.commit(*map(make_task_ended, batch))
        cpu_s = time.process_time() - started
        running.cancel()
        points.append((tasks, 2 * len(claims) / cpu_s))
    return [
        Curve('shard owner', 'committed changes a second', 'tasks in shard', points)
    ]


def make_task_ended(claim: TaskClaimed) -> TaskEnded:
    return TaskEnded(claim.task_id, claim.attempt, TaskState.FINISHED, 'sum=1234')


def make_report(table: TaskTable, worker: WorkerId) -> WorkerReport:
    tasks = table.active_on(worker)
    return WorkerReport(
        worker,
        BootId('f' * 32),
        Epoch(1),
        TicketMs(1000),
        15_000,
        tuple(
            TaskReport(task.task_id, task.attempt, ReportedState.RUNNING, task.reserved)
            for task in tasks
        ),
        tuple(UsageSample(task.task_id, TASK_RESOURCES, 1.1, 3000) for task in tasks),
    )


def measure_reconciliation() -> list[Curve]:
    by_worker = []
    for per_worker in (1, 5, 21, 50, 200):
        by_worker.append((per_worker, reconcile_us(per_worker * WORKERS_PER_SHARD)))
    # Keeps the number of tasks on the worker constant while the shard grows.
    by_shard = []
    for tasks in (6000, 24_000, 96_000):
        table = make_table(tasks)
        report = make_report(table, worker_id_for(0))
        kept_ids = set(task.task_id for task in report.tasks[:20])
        table._on_worker[worker_id_for(0)] &= kept_ids
        by_shard.append((tasks, reconcile_report_us(table)))
    return [
        Curve('shard owner', 'reconcile a report, us', 'tasks on worker', by_worker),
        Curve('shard owner', 'reconcile 20 tasks, us', 'tasks in shard', by_shard),
    ]


def reconcile_us(tasks: int) -> float:
    return reconcile_report_us(make_table(tasks))


def reconcile_report_us(table: TaskTable) -> float:
    reconciler = Reconciler(table, 2000)
    report = make_report(table, worker_id_for(0))
    return cpu_us_per_call(lambda: reconciler.reconcile(report, {}, NOW))


def measure_rounds() -> list[Curve]:
    """Measures the work of the periodic loops in an idle shard."""
    points = []
    for tasks in TASKS_PER_SHARD:
        table = make_table(tasks)
        context = make_context(table)
        instances = (make_instance(),)
        quarantine = Quarantine(context.clock, 1)
        fleet = Fleet(
            table,
            context.replica,
            quarantine,
            context.random,
            zero_load,
            SizeEstimator(),
            lambda: instances,
        )
        # No task ends here, so no background task is started.
        closer = JobCloser(
            context, fleet, cast(BackgroundTasks, None), lambda: instances
        )
        closer.load()
        closer.close_ended()
        evacuation = ZoneEvacuation(context, cast(ShardClient, None), (ZONE,))

        def run_round() -> None:
            closer.refuse_oversized()
            closer.close_ended()
            evacuation.tasks_to_evict()
            with suppress(StopIteration):
                evacuation.move_jobs().send(None)

        points.append((tasks, cpu_us_per_call(run_round)))
    return [Curve('shard owner', 'idle round, us', 'tasks in shard', points)]


def make_context(table: TaskTable) -> ShardContext:
    clock = SystemClock()
    store = make_store()
    return ShardContext(
        tenure=Tenure(ZONE, EntryId('laita-e0'), Epoch(1), timedelta(0)),
        table=table,
        committer=GroupCommitter(open_journal(store), table, clock, timedelta(0)),
        store=store,
        job_store=JobStore(store),
        replica=CatalogueReplica(),
        clock=clock,
        random=np.random.default_rng(1),
        timings=SchedulerTimings(),
        metrics=cast(ShardMetrics, None),
    )


def make_instance(number: int = 0) -> Instance:
    """Returns a worker; each zone has `WORKERS_PER_SHARD`, the size in the design."""
    zone = ZoneName(f'zone{number // WORKERS_PER_SHARD}')
    url = f'http://10.0.0.1:8000/w/w{number}'
    return Instance(
        f'w{number}',
        InstanceRole.WORKER,
        zone if number >= WORKERS_PER_SHARD else ZONE,
        RackName(f'r{number // 8}'),
        InstanceState.LIVE,
        control_url=url,
        serve_url=url,
        services=(EntryName('compteurs'),),
        capacity=Resources(16_000, 60_000_000_000, 2),
        slots=8,
        connections=64,
    )


def zero_load(_worker: WorkerId) -> float:
    return 0


class CountingEngine(StoreEngine):
    """Counts calls by kind and by the state they concern.

    A watch counts as one call, however long it waits.
    """

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.by_state: Counter[str] = Counter()
        self.is_counting = True

    def count(self, kind: str, key: str) -> None:
        state_name = next(
            (name for name in ('journal', 'snapshot', 'owner') if f'/{name}' in key),
            key.partition('/')[0],
        )
        if self.is_counting:
            self.by_state[f'{kind} {state_name}'] += 1

    def fetch(self, key: str):
        self.count('read', key)
        return super().fetch(key)

    def list_prefix(self, prefix: str):
        self.count('read', prefix)
        return super().list_prefix(prefix)

    def put(self, key: str, *rest):
        self.count('write', key)
        return super().put(key, *rest)

    def delete(self, key: str, *rest):
        self.count('write', key)
        return super().delete(key, *rest)

    def grant_lease(self, ttl: timedelta):
        self.count('write', 'lease/')
        return super().grant_lease(ttl)

    def renew_lease(self, lease):
        self.count('write', 'lease/')
        return super().renew_lease(lease)

    def revoke_lease(self, lease):
        self.count('write', 'lease/')
        return super().revoke_lease(lease)

    async def watch(self, prefix: str, *rest):
        self.count('watch', prefix)
        return await super().watch(prefix, *rest)


class CountingBench(ShardBench):
    """Shards whose store calls are counted, but not those of the benchmark itself."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.engine = CountingEngine(self.clock)
        self.external_store = MemoryStore(self.engine, self.clock)

    def propagate_config(self) -> None:
        self.engine.is_counting = False
        super().propagate_config()
        self.engine.is_counting = True


async def count_store_calls(
    zones: int, starts_per_s: int, processes: int = 2, seconds: int = 20
) -> dict[str, float]:
    """Returns store calls per simulated second for each state, over all zones."""
    zone_names = tuple(ZoneName(f'zone{number}') for number in range(zones))
    # An ended task occupies its resources until the next report, for up to 4 s.
    workers = max(2 * starts_per_s, 4)
    bench = CountingBench(zone_names, workers, processes)
    await bench.start()
    await bench.put_entry(idempotent=True)
    await bench.advance(5)
    job_calls: list[asyncio.Task] = []

    def submit(number: int) -> None:
        for name in zone_names:
            handler = bench.owners_of(name)[0].local.handler_of(name)
            # Spreads the starts over the ticks of a second, which is the worst case.
            first, last = (starts_per_s * (number + end) // 4 for end in (0, 1))
            submission = bench.submission(f'{name}-{number}', last - first)
            job_calls.append(asyncio.ensure_future(handler.register(submission)))

    for number in range(4 * (seconds + 5)):
        if number == 20:
            bench.engine.by_state.clear()
            runs_before = len(bench.runs())
        if starts_per_s:
            submit(number)
        await bench.advance(0.25)
    rates = {state: count / seconds for state, count in bench.engine.by_state.items()}
    rates['starts'] = (len(bench.runs()) - runs_before) / seconds
    await asyncio.gather(*job_calls)
    running = [process.task for process in bench.processes if process.task]
    for task in running:
        task.cancel()
    await bench.advance(10)
    await asyncio.wait(running, timeout=1)
    return rates


async def measure_start_delay() -> Curve:
    """Measures the time from submission to start of urgent jobs, with free capacity."""
    points = []
    for starts_per_s in (0, 22):
        bench = CountingBench((ZONE,), max(2 * starts_per_s, 4), 1)
        await bench.start()
        await bench.put_entry(idempotent=True)
        await bench.put_entry('alert', idempotent=True, priority=Priority.URGENT)
        await bench.advance(5)
        handler = bench.owners_of(ZONE)[0].local.handler_of(ZONE)
        calls, submitted = [], {}
        for number in range(80):
            if starts_per_s:
                load = bench.submission(f'load-{number}', starts_per_s // 4)
                calls.append(asyncio.ensure_future(handler.register(load)))
            if number % 4 == 0:
                urgent = bench.submission(f'alert-{number}', entry='alert')
                submitted[job_id_of(urgent)] = bench.clock.monotonic()
                calls.append(asyncio.ensure_future(handler.register(urgent)))
            await bench.advance(0.25)
        await bench.advance(5)
        runs = bench.runs()
        delays = [
            runs[task_id_of(job_id, 0)][0][0] - at.total_seconds() * 1000
            for job_id, at in submitted.items()
        ]
        points.append((starts_per_s, float(max(delays))))
        for process in bench.processes:
            process.task.cancel()
        await bench.advance(10)
        await asyncio.gather(*calls, return_exceptions=True)
    return Curve('shard owner', 'urgent start at worst, ms', 'starts a second', points)


def total_calls(rates: dict[str, float], *, jobs: bool = False) -> float:
    return sum(
        rate
        for state, rate in rates.items()
        if state != 'starts' and (jobs or not state.endswith(' jobs'))
    )


async def measure_store_calls() -> tuple[list[Curve], dict]:
    cases = {
        f'{zones} zones, {processes} processes, {starts} starts/s': (
            await count_store_calls(zones, starts, processes)
        )
        for zones, starts, processes in (
            (1, 0, 1),
            (1, 0, 2),
            (1, 0, 4),
            (2, 0, 2),
            (4, 0, 2),
            (1, 5, 2),
            (1, 22, 2),
            (1, 88, 2),
        )
    }
    load = [
        (starts or 1e-9, total_calls(cases[f'1 zones, 2 processes, {starts} starts/s']))
        for starts in (5, 22, 88)
    ]
    zones = [
        (count, total_calls(cases[f'{count} zones, 2 processes, 0 starts/s']))
        for count in (1, 2, 4)
    ]
    processes = [
        (count, total_calls(cases[f'1 zones, {count} processes, 0 starts/s']))
        for count in (1, 2, 4)
    ]
    curves = [
        Curve('store', 'calls a second, without jobs', 'starts a second', load),
        Curve('store', 'idle calls a second', 'zones', zones),
        Curve('store', 'idle calls a second', 'processes per zone', processes),
    ]
    return curves, cases


async def measure_renewals() -> list[Curve]:
    """Measures lease renewals over HTTP with workers in another process."""
    options = ('--zone=laita', '--rack=r', '--id-prefix=w', '--count=6')
    with ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        (port,) = reserve_ports(1, stack)
        arguments = ('-m', 'standins.workers', '--host', LOOPBACK, '--port', str(port))
        program = Program('workers', (*arguments, *options), Path(directory, 'log'))
        await program.start()
        try:
            points = await measure_workers(f'http://{LOOPBACK}:{port}')
        finally:
            await program.stop()
    return [
        Curve(
            'worker control',
            name,
            'tasks on worker',
            [(tasks, figures[index]) for tasks, figures in points],
        )
        for index, name in enumerate(
            ('renewal sent, bytes', 'renewal received, bytes', 'renewal at owner, us')
        )
    ]


class WorkerConnection:
    """A single HTTP connection to a worker of the stand-in."""

    def __init__(self, url: str, tasks: int) -> None:
        self.tasks = tasks
        self._connector = aiohttp.TCPConnector(limit=1)
        self._session = aiohttp.ClientSession(connector=self._connector)
        self._control = HttpWorkerControl(self._session, url)
        self._ticket = TicketMs(0)

    async def start_tasks(self) -> None:
        while not (await self.renew(0.1)).lease_left_ms:
            await asyncio.sleep(0.1)
        for number in range(self.tasks):
            await self.renew()
            (await self._control.start(make_start_order(number, self._ticket))).unwrap()

    async def renew(self, retry_s: float = 0) -> WorkerReport:
        renewed = await self._control.renew(make_renewal(self._ticket))
        while retry_s and renewed.is_err():
            await asyncio.sleep(retry_s)
            renewed = await self._control.renew(make_renewal(self._ticket))
        report = renewed.unwrap()
        self._ticket = report.ticket
        return report

    async def measure(self) -> tuple[float, float, float]:
        before = transport_bytes(self._connector)
        started = time.process_time()
        report = await self.renew()
        cpu_s = time.process_time() - started
        after = transport_bytes(self._connector)
        if len(report.tasks) != self.tasks or len(report.usage) != self.tasks:
            raise RuntimeError(
                f'report has {len(report.usage)} usage samples for {self.tasks} tasks'
            )
        return after[0] - before[0], after[1] - before[1], cpu_s * 1e6

    async def close(self) -> None:
        await self._session.close()


async def measure_workers(base: str) -> list[tuple[int, tuple[float, ...]]]:
    sizes = enumerate((0, 1, 5, 21, 50, 200))
    workers = [WorkerConnection(f'{base}/w/w{index}', tasks) for index, tasks in sizes]
    try:
        for worker in workers:
            await worker.start_tasks()
        # Usage samples are reported after a lag of 3 s, then with every renewal.
        await asyncio.sleep(4.2)
        samples: dict[int, list[tuple[float, ...]]] = {}
        for _ in range(8):
            for worker in workers:
                samples.setdefault(worker.tasks, []).append(await worker.measure())
            await asyncio.sleep(1.05)
    finally:
        for worker in workers:
            await worker.close()
    return [
        (tasks, tuple(map(float, np.median(measured[1:], axis=0))))
        for tasks, measured in samples.items()
    ]


def make_renewal(ticket: TicketMs) -> Renewal:
    return Renewal(EntryId('laita-e0'), Epoch(1), 15_000, ticket)


def make_start_order(number: int, ticket: TicketMs) -> StartOrder:
    return StartOrder(
        Epoch(1),
        ticket,
        TaskId(f'regie.{number:032x}/0'),
        Attempt(1),
        'recalculation',
        '{"duration_ms": 600000}',
        Resources(10, 1 << 20, 0),
    )


async def measure_replica() -> list[Curve]:
    curves = []
    for versions, name in ((1, '1 version'), (20, '20 versions')):
        memory, applying = [], []
        for entries in (100, 540, 2000):
            items = await make_items(entries, versions)
            gc.collect()
            tracemalloc.start()
            replica = CatalogueReplica()
            replica.apply(items, Revision(entries))
            # The replica keeps the stored bytes; the process has no other copy of them.
            stored_bytes = sum(
                sys.getsizeof(item.value) + sys.getsizeof(item.key) for item in items
            )
            memory.append((entries, tracemalloc.get_traced_memory()[0] + stored_bytes))
            tracemalloc.stop()
            applying.append(
                (
                    entries,
                    min_cpu_ms(lambda: CatalogueReplica().apply(items, Revision(1))),
                )
            )
        curves += [
            Curve('entry process', f'replica, bytes ({name})', 'entries', memory),
            Curve('entry process', f'apply all, ms ({name})', 'entries', applying),
        ]
    return curves


async def make_items(entries: int, versions: int) -> list[ConfigItem]:
    store = make_store()
    editor = CatalogueEditor(store, CatalogueReplica(), SystemClock())
    revision = 0
    for version in range(versions):
        entry = CatalogueEntry(
            name='recalculation',
            owner='billing',
            tenant='regie',
            service_class=ServiceClass.BATCH,
            deadline_ms=1000 + version,
        )
        applied = await editor.apply(entry, revision, 'operator')
        revision = applied.unwrap()
    value = store.engine.fetch(entry_key('recalculation')).first().value
    return [
        ConfigItem(
            entry_key(f'entry-{number}'), bytes(value[:-1] + b'}'), Revision(1 + number)
        )
        for number in range(entries)
    ]


def measure_instances() -> list[Curve]:
    """Measures the instance list, which each entry process reads and keeps in full."""
    sizes, decoding, memory, filtering = [], [], [], []
    endpoints, updating = [], []
    for count in (24, 300, 3000, 13_000):
        instances = [make_instance(number) for number in range(count)]
        listed = {'revision': 1, 'instances': list(map(encode_instance, instances))}
        answer = HttpResponse(200, json.dumps(listed).encode())
        sizes.append((count, float(len(answer.body))))
        decoding.append((count, min_cpu_ms(lambda: decode_list(answer))))
        gc.collect()
        tracemalloc.start()
        snapshot = decode_list(answer)
        memory.append((count, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        watcher = make_watcher(snapshot)
        gc.collect()
        tracemalloc.start()
        table = make_endpoint_table(snapshot)
        endpoints.append((count, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        updating.append((count, min_cpu_ms(lambda: table.update(snapshot))))
        filtering.append((count, cpu_us_per_call(lambda: watcher.workers_in(ZONE))))
    return [
        Curve('entry process', 'instance list, bytes', 'instances', sizes),
        Curve('entry process', 'decode the list, ms', 'instances', decoding),
        Curve('entry process', 'instance list in memory, bytes', 'instances', memory),
        Curve('entry process', 'endpoint table, bytes', 'instances', endpoints),
        Curve('entry process', 'take a list over, ms', 'instances', updating),
        Curve('shard owner', 'workers of its zone, us', 'instances', filtering),
    ]


def make_endpoint_table(snapshot: InstanceSnapshot) -> EndpointTable:
    table = EndpointTable(SystemClock(), RoutingSettings(), lambda zone: True)
    table.update(snapshot)
    return table


def make_watcher(snapshot: InstanceSnapshot) -> InstanceWatcher:
    """Returns a watcher that has received `snapshot`."""

    class SingleSnapshotList:
        async def poll(self, _revision, _wait):
            return Ok(snapshot)

    class StoppedError(Exception):
        """Stops the loop of the watcher."""

    async def stop(_snapshot: InstanceSnapshot) -> None:
        raise StoppedError

    watcher = InstanceWatcher(
        cast(InstanceList, SingleSnapshotList()), SystemClock(), stop
    )
    with suppress(StoppedError):
        watcher.run().send(None)
    return watcher


def print_table(curves: Iterable[Curve]) -> None:
    print(f'{"role":15} {"cost":32} {"size":19} {"slope":>10} {"base":>10} {"exp":>5}')
    for curve in curves:
        slope, base = curve.linear_fit
        print(
            f'{curve.role:15} {curve.cost:32} {curve.size:19} '
            f'{slope:10.4g} {base:10.4g} {curve.exponent:5.2f}'
        )
        points = '  '.join(f'{size:g}: {cost:.4g}' for size, cost in curve.points)
        print(f'{"":16}{points}')


async def measure() -> SimpleNamespace:
    store_curves, cases = await measure_store_calls()
    curves = [
        *await measure_journal(),
        *await measure_replay(),
        *await measure_group_commit(),
        *measure_reconciliation(),
        *measure_rounds(),
        *store_curves,
        await measure_start_delay(),
        *await measure_renewals(),
        *await measure_replica(),
        *measure_instances(),
    ]
    return SimpleNamespace(curves=curves, cases=cases)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--label', default='')
    options = parser.parse_args()
    machine = describe_machine()
    started = time.monotonic()
    measured = uvloop.run(measure())
    print(json.dumps(machine))
    print_table(measured.curves)
    print('store calls a second:')
    for case, rates in measured.cases.items():
        ordered = {state: round(rate, 2) for state, rate in sorted(rates.items())}
        print(f'  {case}: {total_calls(rates):.2f} without jobs; {ordered}')
    print(f'{time.monotonic() - started:.0f} s')
    report = {
        'label': options.label,
        'machine': machine,
        'curves': [curve.report() for curve in measured.curves],
        'store_calls_per_s': measured.cases,
    }
    write_report('control_scale', report)


if __name__ == '__main__':
    main()
