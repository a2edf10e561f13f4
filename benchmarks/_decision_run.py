"""One run of bench_decisions: a deployment, a scenario, a variant and a seed."""

import asyncio
import itertools
from dataclasses import dataclass
from datetime import timedelta

import numpy as np
from numpy.typing import NDArray

from benchmarks._interference_simulator import InterferenceSimulator
from benchmarks._workload import WORKER_CAPACITY, DeploymentShape, Job, submissions
from benchmarks._zone_driver import MEASUREMENT_LAG_S, Worker, ZoneDriver
from chiveworks.base import ManualClock
from chiveworks.placement import SlowdownSample

DURATION_S = 480
#: Latency is not counted until queues have filled and estimates have settled.
_WARM_UP_S = 60
_ZONE_OUT_S, _ZONE_BACK_S = 160, 320
_STORE_OUTAGE_S = range(160, 220)
_SAMPLE_INTERVAL_S = 8
_REQUESTS_PER_S = 8
_LATENCY_SPREAD = 0.35
#: 99th percentile of the standard normal distribution.
_NORMAL_P99 = 2.326
#: Response time target as a multiple of the undisturbed p99 latency.
_TARGET_FACTOR = 2


@dataclass(frozen=True)
class RunResult:
    """Measures of one run; latency is relative to the undisturbed median.

    Attributes:
        p50: Median latency.
        p99: 99th percentile of latency.
        p999: 99.9th percentile of latency.
        over_target: Share of requests over the response time target.
        finished: Number of finished tasks.
        late: Number of tasks that missed their deadline.
        work: Work of the finished tasks in core seconds.
        evictions: Number of evictions.
        lost_work_s: Progress lost through evictions.
        window_work: Work finished from the time at which a zone goes out of service
            until 60 s after its return.
        window_finished: Tasks finished in the same period.
        failed_starts: Number of failed starts.
        urgent_wait_p99_s: 99th percentile of the queueing time of urgent tasks.
    """

    p50: float
    p99: float
    p999: float
    over_target: float
    finished: int
    late: int
    work: float
    evictions: int
    lost_work_s: float
    window_work: float
    window_finished: int
    failed_starts: int
    urgent_wait_p99_s: float


class DecisionRun:
    """Simulates a deployment in steps of one second and takes measurements."""

    def __init__(
        self, shape: DeploymentShape, scenario: str, variant: str, seed: int
    ) -> None:
        workload_rng, interference_rng, self.rng, index_rng = (
            np.random.default_rng([seed, stream]) for stream in range(4)
        )
        self.shape = shape
        self.scenario = scenario
        self.clock = ManualClock()
        self.interference = InterferenceSimulator(shape, interference_rng)
        self.arrivals = submissions(shape, DURATION_S, scenario, workload_rng)
        self.kind_indexes = {
            name: number for number, name in enumerate(self.interference.kinds)
        }
        self.zones = [
            ZoneDriver(zone, shape, count, variant, self.clock, index_rng)
            for zone, count in zip(shape.zones, _split_workers(shape), strict=True)
        ]
        if scenario == 'failing_workers':
            for zone in self.zones[:2]:
                next(iter(zone.workers.values())).fails_starts = True
        self.round_robin = itertools.count()
        self.finished: list[tuple[float, Job]] = []
        self.latencies: list[NDArray[np.float64]] = []
        self.urgent_waits: list[float] = []
        self.window_work = 0.0
        self.window_finished = 0
        self.failed_starts = 0

    def run(self) -> RunResult:
        """Runs the simulation and returns its measures."""
        for now in range(DURATION_S):
            self._switch_zone_state(now)
            self._route(self.arrivals[now])
            self._start(now)
            for zone in self.zones:
                if zone.in_service:
                    self._advance(zone, now)
                    zone.protect()
            asyncio.run(self.clock.advance(timedelta(seconds=1)))
        return self._result()

    def _switch_zone_state(self, now: int) -> None:
        if self.scenario != 'zone_leaves':
            return
        if now == _ZONE_OUT_S:
            self._route(self.zones[-1].take_out_of_service())
        elif now == _ZONE_BACK_S:
            self.zones[-1].in_service = True

    def _route(self, jobs: list[Job]) -> None:
        """Assigns jobs round robin to the zones in service, as entry processes do."""
        zones_in_service = [zone for zone in self.zones if zone.in_service]
        for job in jobs:
            zones_in_service[next(self.round_robin) % len(zones_in_service)].submit(job)

    def _start(self, now: int) -> None:
        if self.scenario == 'store_outage' and now in _STORE_OUTAGE_S:
            return
        for zone in self.zones:
            if not zone.in_service:
                continue
            zone.update_loads()
            before = {job.number for job in zone.waiting.values() if job.spec.urgent}
            self.failed_starts += zone.start_tasks()
            for worker in zone.workers.values():
                for number in before & worker.running.keys():
                    job = worker.running[number]
                    self.urgent_waits.append(now - job.queued_s)

    def _advance(self, zone: ZoneDriver, now: int) -> None:
        """Runs the tasks of a zone for one second and takes measurements."""
        traffic = 1.6 if self.scenario == 'load_shift' and now >= 200 else 1.0
        workers = list(zone.workers.values())
        counts, utilization = self._occupancy(workers, traffic)
        slowdowns = self.interference.slowdowns(counts, utilization)
        latency_factors = self.interference.latency_factor(slowdowns[:, 0], traffic)
        shape = (len(workers), _REQUESTS_PER_S)
        noise = self.rng.lognormal(0, _LATENCY_SPREAD, shape)
        if now >= _WARM_UP_S:
            self.latencies.append((noise * latency_factors[:, None]).ravel())
        errors = self.rng.lognormal(0, 0.1, len(workers))
        for row, worker in enumerate(workers):
            ratio = float(latency_factors[row] * errors[row]) / _TARGET_FACTOR
            worker.measurements.append((float(min(utilization[row], 1)), ratio))
            if (now + row) % _SAMPLE_INTERVAL_S == 0:
                self._report_slowdowns(
                    zone, worker, slowdowns[row], float(utilization[row]), now
                )
            self._progress(zone, worker, slowdowns[row], now)

    def _occupancy(
        self, workers: list[Worker], traffic: float
    ) -> tuple[NDArray[np.float64], NDArray[np.float64]]:
        counts = np.zeros((len(workers), len(self.kind_indexes)))
        counts[:, 0] = 1
        utilization = np.full(
            len(workers), 0.6 * traffic * self.shape.service_size.cpu_millicores
        )
        for row, worker in enumerate(workers):
            for job in worker.running.values():
                counts[row, self.kind_indexes[job.spec.name]] += job.share
                utilization[row] += job.actual_cpu * job.share
        return counts, utilization / WORKER_CAPACITY.cpu_millicores

    def _report_slowdowns(
        self,
        zone: ZoneDriver,
        worker: Worker,
        slowdowns: NDArray[np.float64],
        utilization: float,
        now: int,
    ) -> None:
        """Fits the estimator with samples dated back by `MEASUREMENT_LAG_S`."""
        present = [self.shape.service]
        present.extend(job.spec.name for job in worker.running.values())
        samples = []
        for kind in sorted(set(present)):
            others = {name: present.count(name) for name in present}
            others[kind] -= 1
            error = float(self.rng.lognormal(0, 0.1))
            slowdown = float(slowdowns[self.kind_indexes[kind]]) * error
            samples.append(
                SlowdownSample(
                    kind,
                    others,
                    min(utilization, 1),
                    slowdown,
                    timedelta(seconds=now - MEASUREMENT_LAG_S),
                )
            )
        zone.estimator.partial_fit(samples)

    def _progress(
        self,
        zone: ZoneDriver,
        worker: Worker,
        slowdowns: NDArray[np.float64],
        now: int,
    ) -> None:
        for job in list(worker.running.values()):
            progress_s = job.share / float(slowdowns[self.kind_indexes[job.spec.name]])
            job.done_s += progress_s
            if job.done_s >= job.run_s:
                zone.finish(worker, job)
                self.finished.append((now, job))
                if _ZONE_OUT_S <= now < _ZONE_BACK_S + 60:
                    self.window_work += _core_seconds(job)
                    self.window_finished += 1

    def _result(self) -> RunResult:
        latencies = np.concatenate(self.latencies)
        p50, p99, p999 = np.quantile(latencies, [0.5, 0.99, 0.999])
        target = _TARGET_FACTOR * np.exp(_LATENCY_SPREAD * _NORMAL_P99)
        waits = self.urgent_waits or [0]
        return RunResult(
            p50=float(p50),
            p99=float(p99),
            p999=float(p999),
            over_target=float(np.mean(latencies > target)),
            finished=len(self.finished),
            late=self._count_late(),
            work=sum(_core_seconds(job) for _, job in self.finished),
            evictions=sum(zone.evictions for zone in self.zones),
            lost_work_s=sum(zone.lost_work_s for zone in self.zones),
            window_work=self.window_work,
            window_finished=self.window_finished,
            failed_starts=self.failed_starts,
            urgent_wait_p99_s=float(np.quantile(waits, 0.99)),
        )

    def _count_late(self) -> int:
        """Counts tasks that had not ended when their deadline passed."""
        ended = {job.number: at for at, job in self.finished}
        return sum(
            ended.get(job.number, DURATION_S) > job.arrival_s + job.spec.deadline_s
            for job in itertools.chain.from_iterable(self.arrivals)
            if job.spec.deadline_s is not None
        )


def _core_seconds(job: Job) -> float:
    """Returns the work of a job in core seconds."""
    return job.actual_cpu * job.run_s / 1000


def _split_workers(shape: DeploymentShape) -> list[int]:
    """Returns the number of workers in each zone, as even as possible."""
    share, rest = divmod(shape.workers, len(shape.zones))
    return [share + (number < rest) for number in range(len(shape.zones))]
