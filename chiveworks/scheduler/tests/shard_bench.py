"""Test bench: candidates, workers and a store on a manually advanced clock."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import numpy as np
from result import Err

from chiveworks.base import (
    EntryId,
    EntryName,
    Failure,
    JobId,
    ManualClock,
    RackName,
    Resources,
    ServiceClass,
    Step,
    TenantName,
    WorkerId,
    ZoneName,
)
from chiveworks.catalogue import (
    CONFIG_PREFIX,
    CatalogueEditor,
    CatalogueEntry,
    CatalogueReplica,
    ConfigItem,
    ZoneState,
)
from chiveworks.instances import Instance, InstanceRole, InstanceState
from chiveworks.jobs import JobStore, job_id_of
from chiveworks.membership import (
    JobSubmission,
    LocalShard,
    OwnerTable,
    PeerPool,
    ShardClient,
)
from chiveworks.placement import FirstFit, SizeEstimator, SlowdownEstimator
from chiveworks.scheduler import SchedulerTimings, ShardCandidate, ShardEnvironment
from chiveworks.telemetry import Metrics
from standins.store import MemoryStore, StoreEngine
from standins.workers import MemoryWorkerControl, SimulatedWorker, WorkerSpec

TENANT = TenantName('regie')
CAPACITY = Resources(4000, 8 << 30, 0)
TASK = Resources(1000, 1 << 30, 0)


class Gate:
    """Pauses a simulated process at its next call, like SIGSTOP."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def freeze(self) -> None:
        self._open.clear()

    def thaw(self) -> None:
        self._open.set()

    @property
    def is_frozen(self) -> bool:
        return not self._open.is_set()

    async def wait(self) -> None:
        await self._open.wait()


class GatedClock:
    """Clock of one process; sleeps of a frozen process do not return."""

    def __init__(self, clock: ManualClock, gate: Gate) -> None:
        self._clock = clock
        self._gate = gate
        self.now = clock.now
        self.monotonic = clock.monotonic

    async def sleep(self, delay: timedelta) -> None:
        await self._clock.sleep(delay)
        await self._gate.wait()


class Gated:
    """Forwards calls; a frozen process neither sends nor receives."""

    def __init__(self, target: object, gate: Gate) -> None:
        self._target = target
        self._gate = gate

    def __getattr__(self, name: str) -> object:
        call = getattr(self._target, name)

        async def gated(*args: object, **options: object) -> object:
            await self._gate.wait()
            response = await call(*args, **options)
            await self._gate.wait()
            return response

        return gated


@dataclass
class Process:
    """A simulated entry process."""

    zone: ZoneName
    gate: Gate
    store: MemoryStore
    controls: dict[str, MemoryWorkerControl]
    replica: CatalogueReplica
    editor: CatalogueEditor
    local: LocalShard
    candidate: ShardCandidate
    task: 'asyncio.Task[None] | None' = None

    def kill(self) -> None:
        """Ends the process without any cleanup, like SIGKILL."""
        self.gate.freeze()
        self.local.withdraw()


@dataclass
class ShardBench:
    """Zones with workers and candidates that share one store engine."""

    zones: tuple[ZoneName, ...] = (ZoneName('laita'),)
    worker_count: int = 2
    process_count: int = 2
    seed: int = 1
    timings: SchedulerTimings = field(default_factory=SchedulerTimings)
    clock: ManualClock = field(default_factory=ManualClock)
    loop: asyncio.AbstractEventLoop | None = None

    def __post_init__(self) -> None:
        self.engine = StoreEngine(self.clock)
        self.workers = {
            f'{zone}-w{index}': SimulatedWorker(
                WorkerSpec(f'{zone}-w{index}', CAPACITY, default_duration_ms=1000),
                self.clock,
            )
            for zone in self.zones
            for index in range(self.worker_count)
        }
        self.listed = dict.fromkeys(self.workers, InstanceState.LIVE)
        self.processes: list[Process] = []
        self.killed: list[Process] = []
        self.external_store = MemoryStore(self.engine, self.clock)

    async def start(self) -> None:
        for zone in self.zones:
            for _ in range(self.process_count):
                self.add_process(zone)
        await self.advance(0.1)

    async def stop(self) -> None:
        tasks = [process.task for process in (*self.processes, *self.killed)]
        for process in self.processes:
            process.gate.freeze()
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=0.01)

    def add_process(self, zone: ZoneName) -> Process:
        number = len(self.processes)
        gate = Gate()
        clock = GatedClock(self.clock, gate)
        store = MemoryStore(self.engine, self.clock)
        gated_store = Gated(store, gate)
        replica = CatalogueReplica()
        editor = CatalogueEditor(gated_store, replica, clock)
        local = LocalShard(zone)
        owners = OwnerTable()
        shards = _DirectShards(self, gate)
        controls = {
            worker: MemoryWorkerControl(simulated)
            for worker, simulated in self.workers.items()
        }
        environment = ShardEnvironment(
            zone=zone,
            zones=self.zones,
            entry_id=EntryId(f'{zone}-e{number}'),
            peer_address=f'10.0.0.{number}:1',
            store=gated_store,
            replica=replica,
            editor=editor,
            local=local,
            owners=owners,
            shards=shards,
            policy=FirstFit(),
            queue_order='fifo',
            connect_worker=lambda one: Gated(controls[one.instance_id], gate),
            list_workers=lambda: self.instances(zone),
            load_of=lambda _worker: 0.0,
            on_report=lambda _instance, _report, _kinds: None,
            estimator=SlowdownEstimator(clock),
            sizes=SizeEstimator(),
            tolerated_slowdown=1.5,
            metrics=Metrics(clock, zone, EntryId(f'{zone}-e{number}')),
            clock=clock,
            random=np.random.default_rng((self.seed, number)),
            timings=self.timings,
        )
        process = Process(
            zone,
            gate,
            store,
            controls,
            replica,
            editor,
            local,
            ShardCandidate(environment),
        )
        loop = self.loop or asyncio.get_running_loop()
        process.task = loop.create_task(process.candidate.run())
        self.processes.append(process)
        return process

    def kill(self, process: Process) -> None:
        process.kill()
        self.processes.remove(process)
        self.killed.append(process)

    def instances(self, zone: ZoneName) -> tuple[Instance, ...]:
        return tuple(
            Instance(
                instance_id=WorkerId(worker),
                role=InstanceRole.WORKER,
                zone=zone,
                rack=RackName(f'{zone}-r1'),
                state=state,
                capacity=CAPACITY,
                slots=8,
                connections=64,
            )
            for worker, state in self.listed.items()
            if worker.startswith(f'{zone}-')
        )

    def owners_of(self, zone: ZoneName) -> list[Process]:
        """Returns the processes that consider themselves owners of the shard."""
        return [
            process
            for process in self.processes
            if process.zone == zone and process.local.is_owned
        ]

    async def advance(self, seconds: float, step: float = 0.05) -> None:
        """Advances the clock in steps; each step propagates the configuration."""
        for _ in range(max(round(seconds / step), 1)):
            self.propagate_config()
            await self.clock.advance(timedelta(seconds=step))

    def propagate_config(self) -> None:
        read = self.engine.list_prefix(CONFIG_PREFIX)
        items = [
            ConfigItem(one.key, one.value, one.mod_revision) for one in read.entries
        ]
        for process in self.processes:
            if not process.gate.is_frozen and not process.store.faults.outage:
                process.replica.apply(items, read.revision)

    async def put_entry(self, name: str = 'recalculation', **fields: object) -> None:
        entry = CatalogueEntry(
            **{
                'name': name,
                'owner': 'billing',
                'tenant': TENANT,
                'service_class': ServiceClass.BATCH,
                'cpu_millicores': TASK.cpu_millicores,
                'memory_bytes': TASK.memory_bytes,
                **fields,
            }
        )
        editor = CatalogueEditor(self.external_store, CatalogueReplica(), self.clock)
        applied = await editor.apply(entry, 0, 'test')
        assert not isinstance(applied, Err), applied
        self.propagate_config()

    async def set_zone(self, zone: ZoneName, state: ZoneState) -> None:
        editor = CatalogueEditor(self.external_store, CatalogueReplica(), self.clock)
        changed = await editor.set_zone(zone, state, 'test', 'drill')
        assert not isinstance(changed, Err), changed

    def submission(
        self, key: str, count: int = 1, entry: str = 'recalculation', ms: int = 1000
    ) -> JobSubmission:
        payloads = tuple(f'{{"duration_ms": {ms}}}' for _ in range(count))
        return JobSubmission(TENANT, key, EntryName(entry), payloads)

    async def submit(self, submission: JobSubmission, zone: str | None = None):
        """Submits to the zone's owner and waits for the response."""
        process = self.owners_of(ZoneName(zone or self.zones[0]))[0]
        handler = process.local.handler_of(process.zone)
        return await self.drive(handler.register(submission))

    async def drive(self, coroutine, seconds: float = 30):
        """Advances the clock until a call has a response; returns None after a timeout."""
        task = asyncio.ensure_future(coroutine)
        waited = 0.0
        while not task.done() and waited < seconds:
            await self.advance(0.05)
            waited += 0.05
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return None
        return task.result()

    async def job(self, submission: JobSubmission):
        """Returns the stored record of a job."""
        fetched = await JobStore(self.external_store).fetch(job_id_of(submission))
        return fetched.ok_value.job if fetched.ok_value else None

    def table_job(self, job_id: JobId):
        """Returns the job from the table of its owner."""
        for process in self.processes:
            parts = process.candidate._parts
            if parts is not None and process.local.is_owned:
                table = parts.service._context.table
                if job_id in table.jobs:
                    return table.jobs[job_id]
        return None

    def check_capacity(self) -> None:
        for worker in self.workers.values():
            worker.advance_to_now()
            assert worker.log.greatest.fits_in(CAPACITY), worker.log.greatest

    def runs(self) -> dict[str, list[tuple[int, int | None, int]]]:
        """Returns (start, end, attempt) of every run of each task."""
        found: dict[str, list[tuple[int, int | None, int]]] = {}
        for worker in self.workers.values():
            worker.advance_to_now()
            open_runs: dict[tuple[str, int], int] = {}
            for event in worker.log.events:
                run = (event.task_id, event.attempt)
                if event.event == 'start':
                    open_runs[run] = event.at_ms
                else:
                    began = open_runs.pop(run)
                    found.setdefault(event.task_id, []).append(
                        (began, event.at_ms, event.attempt)
                    )
            for (task_id, attempt), began in open_runs.items():
                found.setdefault(task_id, []).append((began, None, attempt))
        return found

    def check_no_concurrent_runs(self) -> None:
        for task_id, runs in self.runs().items():
            ordered = sorted(runs)
            for former, latter in zip(ordered, ordered[1:], strict=False):
                end = former[1]
                assert end is not None and end <= latter[0], (task_id, ordered)

    def finishes(self) -> dict[str, int]:
        """Returns how often each task finished."""
        counts: dict[str, int] = {}
        for worker in self.workers.values():
            worker.advance_to_now()
            for event in worker.log.events:
                if event.event == 'end' and event.state == 'finished':
                    counts[event.task_id] = counts.get(event.task_id, 0) + 1
        return counts


class _DirectShards:
    """Shard client that calls the owner of a zone's shard in the same event loop."""

    def __init__(self, bench: ShardBench, gate: Gate) -> None:
        self._bench = bench
        self._gate = gate

    def of_zone(self, zone: ZoneName, timeout: timedelta = timedelta(seconds=5)):
        owners = self._bench.owners_of(zone)
        if not owners:
            absent = ShardClient(
                LocalShard(zone), OwnerTable(), PeerPool(self._bench.clock, Random(1))
            )
            return absent.of_zone(zone, timeout)
        handler = owners[0].local.handler_of(zone)
        return _WithDeadline(Gated(handler, self._gate), self._bench.clock, timeout)


class _WithDeadline:
    """Ends calls after a timeout, as gRPC does; a call may still take effect.

    Without it, a caller would wait forever for a process killed in the meantime.
    """

    def __init__(self, target: object, clock: ManualClock, limit: timedelta) -> None:
        self._target = target
        self._clock = clock
        self._limit = limit

    def __getattr__(self, name: str) -> object:
        async def bounded(*args: object) -> object:
            call = asyncio.ensure_future(getattr(self._target, name)(*args))
            sleeper = asyncio.ensure_future(self._clock.sleep(self._limit))
            await asyncio.wait((call, sleeper), return_when=asyncio.FIRST_COMPLETED)
            sleeper.cancel()
            if call.done():
                return call.result()
            _abandoned.add(call)
            call.add_done_callback(_abandoned.discard)
            return Err(Failure.unknown(Step.SEND, name, 'no response in time'))

        return bounded


_abandoned: set['asyncio.Future[object]'] = set()
