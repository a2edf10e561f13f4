"""Scheduling of one zone under a variant, for bench_decisions."""

from collections import deque
from dataclasses import dataclass, field, replace
from datetime import timedelta

import numpy as np

from benchmarks._workload import WORKER_CAPACITY, DeploymentShape, Job, deadline
from chiveworks.base import (
    Clock,
    RackName,
    Resources,
    ServiceClass,
    TaskId,
    WorkerId,
)
from chiveworks.placement import (
    ActionType,
    Candidate,
    CandidateIndex,
    DeadlineFair,
    Demand,
    Fifo,
    FirstFit,
    InterferenceAware,
    Neighbour,
    ProtectionPolicy,
    Quarantine,
    SizeEstimator,
    SizeSample,
    SlowdownEstimator,
    TaskQueue,
    WorkerPressure,
)

#: Age of measurements when they reach the scheduler: one renewal interval.
MEASUREMENT_LAG_S = 4
_MAX_UNPLACED_PER_STEP = 8
#: The baseline `naive_evict` waits for the effect of an eviction before the next.
_EVICTION_INTERVAL_S = MEASUREMENT_LAG_S + 1


@dataclass
class Worker:
    """A worker with its running jobs and recent measurements.

    Attributes:
        worker_id: The worker.
        running: Running jobs by number, in the order of their starts.
        measurements: Utilization and latency over its target in each of the last
            `MEASUREMENT_LAG_S` seconds, oldest first.
        fails_starts: Whether all starts on the worker fail.
        last_eviction_s: Time of the last eviction by `naive_evict`.
    """

    worker_id: WorkerId
    running: dict[int, Job] = field(default_factory=dict)
    measurements: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MEASUREMENT_LAG_S)
    )
    fails_starts: bool = False
    last_eviction_s: float = 0


class ZoneDriver:
    """Applies the variant `naive`, `naive_evict` or `ours` to one zone."""

    def __init__(
        self,
        zone: str,
        shape: DeploymentShape,
        workers: int,
        variant: str,
        clock: Clock,
        rng: np.random.Generator,
    ) -> None:
        self.zone = zone
        self.shape = shape
        self.variant = variant
        self.clock = clock
        self.in_service = True
        self.evictions = 0
        self.lost_work_s = 0.0
        self.demands: dict[int, Demand] = {}
        self.waiting: dict[TaskId, Job] = {}
        self.estimator = SlowdownEstimator(clock)
        self.sizes = SizeEstimator()
        self.protection = ProtectionPolicy(clock)
        self.quarantine = Quarantine(clock, workers)
        self.index = CandidateIndex(rng)
        worker_ids = [WorkerId(f'{zone}-{number}') for number in range(workers)]
        self.workers = {name: Worker(name) for name in worker_ids}
        for number, name in enumerate(worker_ids):
            self.index.put(self._create_worker_candidate(name, number // 8))
        batch_cpu = workers * (WORKER_CAPACITY - shape.service_size).cpu_millicores
        quota = int(batch_cpu * shape.quota_share)
        tenants = {spec.tenant for spec in shape.kinds}
        self.policy = (
            InterferenceAware(self.estimator, shape.weights)
            if self.is_ours
            else FirstFit()
        )
        order = DeadlineFair() if self.is_ours else Fifo()
        self.queue = TaskQueue(order, {tenant: quota for tenant in tenants})

    @property
    def is_ours(self) -> bool:
        """Whether the variant is `ours`, that is chiveworks, and not a baseline."""
        return self.variant == 'ours'

    @property
    def now_s(self) -> float:
        """The current time in seconds."""
        return self.clock.monotonic().total_seconds()

    def submit(self, job: Job) -> None:
        """Queues a job with the resources that the variant reserves for it."""
        resources = job.declared
        run_time = timedelta(seconds=job.declared_run_s)
        if self.is_ours:
            resources = self.sizes.predict(job.spec.name, resources)
            run_time = self.sizes.predict_run_time(job.spec.name, run_time)
        demand = Demand(
            TaskId(str(job.number)),
            job.spec.name,
            job.spec.tenant,
            resources,
            arrival=timedelta(seconds=job.arrival_s),
            urgent=job.spec.urgent,
            deadline=deadline(job),
            run_time=run_time,
        )
        job.queued_s = self.now_s
        self.demands[job.number] = demand
        self.waiting[demand.task_id] = job
        self.queue.push(demand)

    def start_tasks(self) -> int:
        """Places waiting tasks and returns the number of failed starts."""
        unplaced: list[Demand] = []
        failed: list[tuple[WorkerId, Demand]] = []
        while len(unplaced) < _MAX_UNPLACED_PER_STEP:
            demand = self.queue.pop()
            if demand is None:
                break
            chosen = self._choose(demand)
            if chosen is None:
                unplaced.append(demand)
            elif self.workers[chosen].fails_starts:
                # The resources stay claimed until the failure is known.
                self.index.claim(chosen, demand)
                self.quarantine.note_sent(chosen)
                self._update_quarantine(chosen)
                failed.append((chosen, demand))
            else:
                self._run(chosen, demand)
        for worker_id, demand in failed:
            self.index.release(worker_id, demand)
            self._record_failed_start(worker_id)
            unplaced.append(demand)
        for demand in unplaced:
            self.queue.release_quota(demand)
            self.queue.push(demand)
        return len(failed)

    def finish(self, worker: Worker, job: Job) -> None:
        """Releases the resources of a finished job and updates the size estimates."""
        demand = self._release(worker, job)
        used = Resources(job.actual_cpu, job.declared.memory_bytes)
        self.sizes.partial_fit(
            [
                SizeSample(
                    demand.kind,
                    used,
                    timedelta(seconds=job.declared_run_s),
                    timedelta(seconds=job.run_s),
                )
            ]
        )

    def evict(self, worker: Worker, job: Job) -> None:
        """Stops a job; without a checkpoint, its progress counts as lost work."""
        self._release(worker, job)
        self.evictions += 1
        kept_s = job.done_s if job.spec.can_checkpoint else 0
        self.lost_work_s += job.done_s - kept_s
        job.done_s = kept_s
        job.share = 1

    def protect(self) -> None:
        """Throttles or evicts tasks in response to the reported latency ratios."""
        for worker in self.workers.values():
            if len(worker.measurements) < MEASUREMENT_LAG_S:
                continue
            ratio = worker.measurements[0][1]
            if self.is_ours:
                self._protect_worker(worker, ratio)
            elif self.variant == 'naive_evict' and ratio > 1:
                self._evict_newest(worker)

    def update_loads(self) -> None:
        """Sets the loads in the index to the last report plus tasks started since."""
        for worker in self.workers.values():
            candidate = self.index.get(worker.worker_id)
            if candidate is None or not worker.measurements:
                continue
            recent = sum(
                job.actual_cpu
                for job in worker.running.values()
                if self.now_s - job.started_s < MEASUREMENT_LAG_S
            )
            load = worker.measurements[0][0] + recent / WORKER_CAPACITY.cpu_millicores
            self.index.put(replace(candidate, load=min(load, 1)))
            self._update_quarantine(worker.worker_id)

    def take_out_of_service(self) -> list[Job]:
        """Evicts all jobs and returns those to be moved to other zones."""
        self.in_service = False
        moved = list(self.waiting.values())
        for task_id in list(self.waiting):
            self.queue.remove(task_id)
        self.waiting.clear()
        for worker in self.workers.values():
            for job in list(worker.running.values()):
                self.evict(worker, job)
                moved.append(job)
        return moved

    def _choose(self, demand: Demand) -> WorkerId | None:
        candidates = self.index.sample(demand) if self.is_ours else self.index
        return self.policy.choose(demand, candidates)

    def _run(self, chosen: WorkerId, demand: Demand) -> None:
        job = self.waiting.pop(demand.task_id)
        job.started_s = self.now_s
        self.workers[chosen].running[job.number] = job
        self.index.claim(chosen, demand)
        self.quarantine.note_succeeded(chosen)

    def _record_failed_start(self, chosen: WorkerId) -> None:
        self.quarantine.note_failed(chosen)
        self._update_quarantine(chosen)

    def _update_quarantine(self, worker_id: WorkerId) -> None:
        candidate = self.index.get(worker_id)
        if candidate is not None and self.is_ours:
            is_quarantined = not self.quarantine.allows(worker_id)
            failed_starts = self.quarantine.failed_starts(worker_id)
            self.index.put(
                replace(
                    candidate, quarantined=is_quarantined, failed_starts=failed_starts
                )
            )

    def _release(self, worker: Worker, job: Job) -> Demand:
        demand = self.demands.pop(job.number)
        worker.running.pop(job.number)
        self.index.release(worker.worker_id, demand)
        self.queue.release_quota(demand)
        return demand

    def _requeue(self, worker: Worker, job: Job) -> None:
        self.evict(worker, job)
        self.submit(job)

    def _evict_newest(self, worker: Worker) -> None:
        if (
            not worker.running
            or self.now_s - worker.last_eviction_s < _EVICTION_INTERVAL_S
        ):
            return
        worker.last_eviction_s = self.now_s
        self._requeue(worker, next(reversed(worker.running.values())))

    def _protect_worker(self, worker: Worker, ratio: float) -> None:
        candidate = self.index.get(worker.worker_id)
        load = candidate.load if candidate else 0
        neighbours = tuple(
            Neighbour(
                TaskId(str(job.number)),
                harm=self.estimator.pair_excess(
                    self.shape.service, job.spec.name, load
                ),
                lost_work=timedelta(
                    seconds=0 if job.spec.can_checkpoint else job.done_s
                ),
                share=job.share,
                deadline_at_risk=self._is_near_deadline(job),
            )
            for job in worker.running.values()
        )
        action = self.protection.decide(
            WorkerPressure(worker.worker_id, ratio, neighbours)
        )
        if action is None:
            return
        job = worker.running[int(action.task_id)]
        if action.action_type is ActionType.EVICT:
            self._requeue(worker, job)
        else:
            job.share = action.share

    def _is_near_deadline(self, job: Job) -> bool:
        if job.spec.deadline_s is None:
            return False
        slack_s = job.arrival_s + job.spec.deadline_s - self.now_s
        remaining_s = self.demands[job.number].run_time.total_seconds() - job.done_s
        return slack_s < max(remaining_s, 0) * 4

    def _create_worker_candidate(self, name: WorkerId, rack: int) -> Candidate:
        service = Demand(
            TaskId(f'service-{name}'),
            self.shape.service,
            self.shape.kinds[0].tenant,
            self.shape.service_size,
            timedelta(0),
            ServiceClass.LATENCY_CRITICAL,
        )
        empty = Candidate(
            name, RackName(f'{self.zone}-{rack}'), WORKER_CAPACITY, WORKER_CAPACITY
        )
        return empty.with_task(service)
