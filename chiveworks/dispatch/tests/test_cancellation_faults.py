"""Tests cancellations while leaders, workers and the store fail at random."""

import functools
import os
import random
from collections import Counter
from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import QUEUE, InMemoryDeployment
from chiveworks.dispatch.tests.unreliable_runner import LASTING, UnreliableRunner
from chiveworks.intake import IntakeVerdict
from chiveworks.workflow import JobSpec, StepSpec, Submission

#: With CANCELLATION_SEEDS=n, the seeds 0 to n - 1 run instead of these.
DEFAULT_SEEDS = (0, 11, 28)
SEED_COUNT = int(os.environ.get('CANCELLATION_SEEDS', '0'))
ACTION_COUNT = 40
#: Time after the end of all faults: late orders are executed, another process leads
#: and reaches all workers.
SETTLE_TIME = timedelta(seconds=7)
CHECK_INTERVAL = timedelta(milliseconds=50)
CORE = Resources(1000, 1)


class _Scenario:
    """Random requests and faults, drawn from one seed.

    Attributes:
        deployment: Deployment that the scenario acts on.
        cancelled: Ids of the jobs whose cancellation was accepted.
    """

    def __init__(self, seed):
        self.deployment = InMemoryDeployment(workers=0)
        self.cancelled = set()
        self._rng = random.Random(seed)
        self._jobs = []
        self._processes = {}
        self._started = 0
        self._faults = []
        for _ in range(3):
            self._add_worker()
        self._start_process()

    async def play(self):
        """Takes random actions, ends all faults and waits until the effects are over."""
        actions = {
            self._submit: 6,
            self._cancel: 6,
            self._kill_leader: 3,
            self._start_process: 3,
            self._cut_worker: 4,
            self._disturb_orders: 3,
            self._lose_stops: 4,
            self._stall_runs: 1,
            self._stop_store: 1,
            self._disturb_store: 2,
            self._drain: 1,
        }
        await self._advance(timedelta(seconds=0.5))
        for _ in range(ACTION_COUNT):
            action = self._rng.choices(list(actions), list(actions.values()))[0]
            action()
            await self._advance(timedelta(seconds=self._rng.uniform(0.02, 0.4)))
        self._end_faults(timedelta.max)
        if not self._processes:
            self._start_process()
        await self._advance(SETTLE_TIME)

    def running(self):
        """Counts the runs of each task on all workers."""
        return Counter(
            ref for runner in self.deployment.runners.values() for ref in runner.running
        )

    async def _advance(self, duration):
        end = self.deployment.clock.monotonic() + duration
        while self.deployment.clock.monotonic() < end:
            await self.deployment.clock.advance(CHECK_INTERVAL)
            self._end_faults(self.deployment.clock.monotonic())
            twice = [ref for ref, count in self.running().items() if count > 1]
            assert not twice, f'running twice at the same time: {twice}'

    def _submit(self):
        name = f'j{len(self._jobs)}'
        self._jobs.append(name)
        lasting = StepSpec(self._rng.randint(1, 3), CORE, long_running=True)
        spec = JobSpec(LASTING, (lasting,))
        if self._rng.random() < 0.4:
            spec = JobSpec('', (StepSpec(2, CORE), StepSpec(1, CORE, after=(0,))))
        accepted_at = self.deployment.clock.now()
        submission = Submission(JobId(name), QUEUE, spec, accepted_at=accepted_at)
        self.deployment.spawn(self.deployment.intake.submit(submission))

    def _cancel(self):
        if self._jobs:
            self.deployment.spawn(self._cancel_job(self._rng.choice(self._jobs)))

    async def _cancel_job(self, name):
        verdict = await self.deployment.intake.cancel(JobId(name))
        if verdict is IntakeVerdict.ACCEPTED:
            self.cancelled.add(name)

    def _start_process(self):
        if len(self._processes) < 2:
            self._started += 1
            name = f'p{self._started}'
            self._processes[name] = self.deployment.process(name)

    def _kill_leader(self):
        terms = self.deployment.log.named('leadership_gained')
        process = self._processes.pop(terms[-1]['process'], None) if terms else None
        if process is not None:
            process.cancel()

    def _add_worker(self):
        name = f'w{len(self.deployment.runners)}'
        self.deployment.add_worker(name)
        self.deployment.runners[name] = UnreliableRunner(
            self.deployment.clock, self._rng, self.deployment.spawn
        )

    def _cut_worker(self):
        self._set_for_a_while(self._choose_worker(), 'reachable', False, 5)

    def _disturb_orders(self):
        self._set_for_a_while(self._choose_worker(), 'unreliable', True, 4)

    def _lose_stops(self):
        self._set_for_a_while(self._choose_worker(), 'lose_stops', True, 4)

    def _stall_runs(self):
        self._set_for_a_while(self._choose_worker(), 'stall_runs', True, 4)

    def _stop_store(self):
        self._set_for_a_while(self.deployment.store.faults, 'refuse', True, 3)

    def _disturb_store(self):
        faults = self.deployment.store.faults
        faults.lose_answers = self._rng.randint(0, 2)
        faults.compact = self._rng.random() < 0.3
        faults.delay_writes = self._rng.randint(0, 1)
        self._faults.append((self._draw_end(2), self.deployment.store.apply_delayed))

    def _drain(self):
        name = self._rng.choice(self._present_workers())
        remaining = timedelta(seconds=self._rng.uniform(0.5, 3))
        self.deployment.change_worker(name, draining=True, remaining=remaining)
        ends_at = self.deployment.clock.monotonic() + remaining
        self._faults.append((ends_at, functools.partial(self._replace_worker, name)))

    def _replace_worker(self, name):
        if name in self._present_workers():
            self.deployment.runners[name].leave()
            self.deployment.store.remove(f'workers/{name}')
            self._add_worker()

    def _present_workers(self):
        return [
            name
            for name in self.deployment.runners
            if f'workers/{name}' in self.deployment.store.items
        ]

    def _choose_worker(self):
        return self.deployment.runners[self._rng.choice(self._present_workers())]

    def _draw_end(self, limit):
        duration = timedelta(seconds=self._rng.uniform(0.1, limit))
        return self.deployment.clock.monotonic() + duration

    def _set_for_a_while(self, target, name, faulty, limit):
        setattr(target, name, faulty)
        restore = functools.partial(setattr, target, name, not faulty)
        self._faults.append((self._draw_end(limit), restore))

    def _end_faults(self, now):
        """Ends the faults that last until `now` or less."""
        over = [restore for ends_at, restore in self._faults if ends_at <= now]
        self._faults = [fault for fault in self._faults if fault[0] > now]
        for restore in over:
            restore()


@pytest.mark.parametrize('seed', range(SEED_COUNT) or DEFAULT_SEEDS)
async def test_nothing_of_a_cancelled_job_keeps_running(seed):
    """Guards against runs that outlive the cancellation of their job, and against two
    runs of a task at the same time."""
    # Elections and replicas draw their pauses from the module's generator.
    state = random.getstate()
    random.seed(seed)
    scenario = _Scenario(seed)
    try:
        await scenario.play()
        remaining = [ref for ref in scenario.running() if ref[0] in scenario.cancelled]
        assert not remaining
    finally:
        await scenario.deployment.close()
        random.setstate(state)
