"""Tests the workers' allocations while runs, workers and leaders fail at random."""

import os
import random
from dataclasses import replace
from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch import EndKind
from chiveworks.dispatch._consolidator import MOVE_TIMEOUT
from chiveworks.dispatch._interference_weight import InterferenceWeight
from chiveworks.dispatch._worker_allocation import WorkerAllocation
from chiveworks.dispatch.tests.deployment import GIGABYTE, QUEUE
from chiveworks.dispatch.tests.test_cancellation_faults import (
    CHECK_INTERVAL,
    SETTLE_TIME,
    _Scenario,
)
from chiveworks.dispatch.tests.unreliable_runner import (
    LASTING,
    LASTING_RUN_TIME,
    UnreliableRunner,
)
from chiveworks.workflow import JobSpec, StepSpec, Submission

#: With ALLOCATION_SEEDS=n, the seeds 0 to n - 1 run instead of these.
DEFAULT_SEEDS = (6, 17, 43)
SEED_COUNT = int(os.environ.get('ALLOCATION_SEEDS', '0'))
ACTION_COUNT = 100
#: Time after which a reservation must have been used or freed: a move that is abandoned
#: and the interval between two checks of the moves.
RESERVATION_LIMIT = MOVE_TIMEOUT + timedelta(seconds=1)
CORE = Resources(1000, GIGABYTE)
#: Filling task that fits on no worker; moves are planned only while one waits.
WAITING_FILLER = StepSpec(1, Resources(1000, 100 * GIGABYTE), fills=True, image='calm')
SERVING_IMAGES = ('fast', 'quick', 'steady')
HARMFUL, HARMLESS = 7, 1


class _MeasuredRunner(UnreliableRunner):
    """Worker that reports random measurements and loses runs at random."""

    def fail_one(self):
        """Ends a run with a failure."""
        if self._runs:
            self._end(self._rng.choice(list(self._runs)), EndKind.FAILED)

    def restart(self):
        """Loses all runs; the next report is that of another incarnation."""
        self.born_ms += 1
        for ref, run in self._runs.items():
            self._highest_ended_attempt[ref] = run.attempt
        self._runs.clear()
        self._ends.clear()

    def _percent(self, run):
        return 100 if run.ends_at >= LASTING_RUN_TIME else super()._percent(run)

    def _report(self):
        report = super()._report()
        rows = [
            replace(row, measured=self._rng.randint(5, 30)) for row in report.running
        ]
        return replace(report, running=rows)


class _AllocationScenario(_Scenario):
    """Random requests and faults, with moves; checks the allocations all the time."""

    def __init__(self, seed):
        self._reserved_since = {}
        self._weights = {}
        super().__init__(seed)

    async def play(self):
        actions = {
            self._submit: 15,
            self._cancel: 4,
            self._change_weights: 6,
            self._fail_run: 4,
            self._restart_worker: 1,
            self._kill_leader: 1,
            self._start_process: 3,
            self._cut_worker: 2,
            self._disturb_orders: 2,
            self._lose_stops: 2,
            self._stall_runs: 1,
            self._disturb_store: 1,
            self._drain: 1,
        }
        await self._advance(timedelta(seconds=0.5))
        self._submit_step('filler', WAITING_FILLER)
        for _ in range(ACTION_COUNT):
            self._rng.choices(list(actions), list(actions.values()))[0]()
            await self._advance(timedelta(seconds=self._rng.uniform(0.02, 0.4)))
        self._end_faults(timedelta.max)
        if not self._processes:
            self._start_process()
        await self._advance(SETTLE_TIME)
        for name in (*self._jobs, 'filler'):
            self.deployment.spawn(self.deployment.intake.cancel(JobId(name)))
        await self._advance(SETTLE_TIME)

    def workers(self):
        """Returns all workers that the current leaders know."""
        return [
            worker
            for leader in self.deployment.leaders.values()
            if leader.scheduler is not None
            for worker in leader.scheduler.fleet.workers.values()
        ]

    async def _advance(self, duration):
        end = self.deployment.clock.monotonic() + duration
        while self.deployment.clock.monotonic() < end:
            await super()._advance(CHECK_INTERVAL)
            self._set_weights()
            self._check_allocations()

    def _change_weights(self):
        """Changes which serving images the filling image disturbs."""
        self._weights = {
            image: self._rng.choice((HARMFUL, HARMLESS)) for image in SERVING_IMAGES
        }

    def _set_weights(self):
        for leader in self.deployment.leaders.values():
            if leader.scheduler is not None:
                leader.scheduler.model.weights_ = {
                    image: {'loud': InterferenceWeight(weight, 0.1)}
                    for image, weight in self._weights.items()
                }

    def _check_allocations(self):
        now = self.deployment.clock.monotonic()
        reserved = {}
        for worker in self.workers():
            expected = WorkerAllocation()
            for task in (*worker.tasks.values(), *worker.reservations.values()):
                expected.count(task, 1)
            assert vars(worker.allocated) == vars(expected), worker.worker_id
            for ref in worker.reservations:
                key = (id(worker), ref)
                reserved[key] = self._reserved_since.get(key, now)
        self._reserved_since = reserved
        old = [key for key, at in reserved.items() if now - at > RESERVATION_LIMIT]
        assert not old, f'reserved for more than {RESERVATION_LIMIT}: {old}'

    def _submit(self):
        name = f'j{len(self._jobs)}'
        self._jobs.append(name)
        image = self._rng.choice((*SERVING_IMAGES, 'loud', ''))
        spec = StepSpec(1, CORE, image=image, long_running=True)
        if image == 'loud':
            spec = replace(spec, fills=True, long_running=False)
        elif image:
            spec = replace(spec, latency_target=timedelta(milliseconds=20))
        self._submit_step(name, spec)

    def _submit_step(self, name, step):
        spec = JobSpec(LASTING if step.long_running else '', (step,))
        accepted_at = self.deployment.clock.now()
        submission = Submission(JobId(name), QUEUE, spec, accepted_at=accepted_at)
        self.deployment.spawn(self.deployment.intake.submit(submission))

    def _add_worker(self):
        name = f'w{len(self.deployment.runners)}'
        self.deployment.add_worker(name, cores=8)
        self.deployment.runners[name] = _MeasuredRunner(
            self.deployment.clock, self._rng, self.deployment.spawn
        )

    def _fail_run(self):
        self._choose_worker().fail_one()

    def _restart_worker(self):
        self._choose_worker().restart()


@pytest.mark.parametrize('seed', range(SEED_COUNT) or DEFAULT_SEEDS)
async def test_no_allocation_outlives_its_run_or_move(seed):
    """Guards against capacity that stays allocated to runs or moves that have ended,
    and against capacity that is allocated twice or freed too early."""
    # Elections and replicas draw their pauses from the module's generator.
    state = random.getstate()
    random.seed(seed)
    scenario = _AllocationScenario(seed)
    try:
        await scenario.play()
        workers = scenario.workers()
        assert workers
        for worker in workers:
            assert vars(worker.allocated) == vars(WorkerAllocation())
            assert not (worker.tasks or worker.reservations)
    finally:
        await scenario.deployment.close()
        random.setstate(state)
