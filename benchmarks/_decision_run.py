"""One run of bench_decisions: a user's shape, a scenario, a variant and a seed."""

import asyncio
import itertools
from dataclasses import dataclass
from datetime import timedelta

import numpy as np
from numpy.typing import NDArray

from benchmarks._hidden_model import HiddenModel
from benchmarks._workload import WORKER, Job, UserShape, submissions
from benchmarks._zone_driver import LAG_S, Worker, ZoneDriver
from chiveworks.base import ManualClock
from chiveworks.placement import SlowdownSample

DURATION_S = 480
#: Queues fill and estimates form before latency is counted.
_WARM_UP_S = 60
_LEAVE_S, _RETURN_S = 160, 320
_OUTAGE_S = range(160, 220)
_SAMPLE_EVERY_S = 8
_REQUESTS_PER_S = 8
_LATENCY_SPREAD = 0.35
#: 0.99 quantile of the standard normal distribution.
_P99 = 2.326
#: Response target over the undisturbed p99 latency.
_TARGET = 2


@dataclass(frozen=True)
class RunResult:
    """What one run measured; latency is in units of the undisturbed median."""

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
    """Moves time in steps of one second and measures the outcome."""

    def __init__(
        self, shape: UserShape, scenario: str, variant: str, seed: int
    ) -> None:
        workload_rng, model_rng, self.rng, index_rng = (
            np.random.default_rng([seed, stream]) for stream in range(4)
        )
        self.shape = shape
        self.scenario = scenario
        self.clock = ManualClock()
        self.model = HiddenModel(shape, model_rng)
        self.arrivals = submissions(shape, DURATION_S, scenario, workload_rng)
        self.numbers = {name: number for number, name in enumerate(self.model.kinds)}
        self.zones = [
            ZoneDriver(zone, shape, count, variant, self.clock, index_rng)
            for zone, count in zip(shape.zones, _split(shape), strict=True)
        ]
        if scenario == 'failing_workers':
            for zone in self.zones[:2]:
                next(iter(zone.workers.values())).fails_starts = True
        self.turn = itertools.count()
        self.finished: list[tuple[float, Job]] = []
        self.latencies: list[NDArray[np.float64]] = []
        self.urgent_waits: list[float] = []
        self.window_work = 0.0
        self.window_finished = 0
        self.failed_starts = 0

    def run(self) -> RunResult:
        """Runs to the end and returns the measures."""
        for now in range(DURATION_S):
            self._switch_zone(now)
            self._route(self.arrivals[now])
            self._start(now)
            for zone in self.zones:
                if zone.in_service:
                    self._advance(zone, now)
                    zone.protect()
            asyncio.run(self.clock.advance(timedelta(seconds=1)))
        return self._result()

    def _switch_zone(self, now: int) -> None:
        if self.scenario != 'zone_leaves':
            return
        if now == _LEAVE_S:
            self._route(self.zones[-1].leave())
        elif now == _RETURN_S:
            self.zones[-1].in_service = True

    def _route(self, jobs: list[Job]) -> None:
        """Gives jobs to the zones in service in turn, as entry processes do."""
        open_zones = [zone for zone in self.zones if zone.in_service]
        for job in jobs:
            open_zones[next(self.turn) % len(open_zones)].submit(job)

    def _start(self, now: int) -> None:
        if self.scenario == 'store_outage' and now in _OUTAGE_S:
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
        """Runs the zone's tasks for a second and takes measurements."""
        traffic = 1.6 if self.scenario == 'load_shift' and now >= 200 else 1.0
        workers = list(zone.workers.values())
        counts, use = self._occupancy(workers, traffic)
        slowdowns = self.model.slowdowns(counts, use)
        factors = self.model.latency_factor(slowdowns[:, 0], traffic)
        shape = (len(workers), _REQUESTS_PER_S)
        noise = self.rng.lognormal(0, _LATENCY_SPREAD, shape)
        if now >= _WARM_UP_S:
            self.latencies.append((noise * factors[:, None]).ravel())
        errors = self.rng.lognormal(0, 0.1, len(workers))
        for row, worker in enumerate(workers):
            ratio = float(factors[row] * errors[row]) / _TARGET
            worker.measured.append((float(min(use[row], 1)), ratio))
            if (now + row) % _SAMPLE_EVERY_S == 0:
                self._report(zone, worker, slowdowns[row], float(use[row]), now)
            self._progress(zone, worker, slowdowns[row], now)

    def _occupancy(
        self, workers: list[Worker], traffic: float
    ) -> tuple[NDArray[np.float64], NDArray[np.float64]]:
        counts = np.zeros((len(workers), len(self.numbers)))
        counts[:, 0] = 1
        use = np.full(
            len(workers), 0.6 * traffic * self.shape.service_size.cpu_millicores
        )
        for row, worker in enumerate(workers):
            for job in worker.running.values():
                counts[row, self.numbers[job.spec.name]] += job.share
                use[row] += job.actual_cpu * job.share
        return counts, use / WORKER.cpu_millicores

    def _report(
        self,
        zone: ZoneDriver,
        worker: Worker,
        slowdowns: NDArray[np.float64],
        use: float,
        now: int,
    ) -> None:
        """Sends slowdown samples as they were `LAG_S` ago to the estimator."""
        present = [self.shape.service]
        present.extend(job.spec.name for job in worker.running.values())
        samples = []
        for kind in sorted(set(present)):
            others = {name: present.count(name) for name in present}
            others[kind] -= 1
            error = float(self.rng.lognormal(0, 0.1))
            slowdown = float(slowdowns[self.numbers[kind]]) * error
            samples.append(
                SlowdownSample(
                    kind, others, min(use, 1), slowdown, timedelta(seconds=now - LAG_S)
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
            step = job.share / float(slowdowns[self.numbers[job.spec.name]])
            job.done_s += step
            if job.done_s >= job.run_s:
                zone.finish(worker, job)
                self.finished.append((now, job))
                if _LEAVE_S <= now < _RETURN_S + 60:
                    self.window_work += _work(job)
                    self.window_finished += 1

    def _result(self) -> RunResult:
        latencies = np.concatenate(self.latencies)
        p50, p99, p999 = np.quantile(latencies, [0.5, 0.99, 0.999])
        target = _TARGET * np.exp(_LATENCY_SPREAD * _P99)
        waits = self.urgent_waits or [0]
        return RunResult(
            p50=float(p50),
            p99=float(p99),
            p999=float(p999),
            over_target=float(np.mean(latencies > target)),
            finished=len(self.finished),
            late=self._late(),
            work=sum(_work(job) for _, job in self.finished),
            evictions=sum(zone.evictions for zone in self.zones),
            lost_work_s=sum(zone.lost_s for zone in self.zones),
            window_work=self.window_work,
            window_finished=self.window_finished,
            failed_starts=self.failed_starts,
            urgent_wait_p99_s=float(np.quantile(waits, 0.99)),
        )

    def _late(self) -> int:
        """Counts tasks that ended after their deadline or still have not ended."""
        ended = {job.number: at for at, job in self.finished}
        return sum(
            ended.get(job.number, DURATION_S) > job.arrival_s + job.spec.deadline_s
            for job in itertools.chain.from_iterable(self.arrivals)
            if job.spec.deadline_s is not None
        )


def _work(job: Job) -> float:
    """Returns the job's work in core seconds."""
    return job.actual_cpu * job.run_s / 1000


def _split(shape: UserShape) -> list[int]:
    """Returns the workers of each zone, as even as possible."""
    share, rest = divmod(shape.workers, len(shape.zones))
    return [share + (number < rest) for number in range(len(shape.zones))]
