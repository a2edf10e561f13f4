"""Tests that starts respect a capacity that shrinks and grows while a worker runs."""

import random
from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch import OrderOutcome
from chiveworks.dispatch.tests.deployment import QUEUE, InMemoryDeployment
from chiveworks.dispatch.tests.lasting_runner import LASTING, LastingRunner
from chiveworks.workflow import JobSpec, StepSpec, Submission

SEEDS = (0, 1, 2, 3)
WORKER_COUNT = 3
CHANGE_COUNT = 120
#: Maximum time from a report of the capacity to the execution of the last start that
#: was decided before the report: the watch, the write of the claim and the order.
REPORT_DELAY = timedelta(milliseconds=300)
START_DELAY_LIMIT_MS = 150
#: Time that a worker takes to carry out a stop.
STOP_TIME = timedelta(milliseconds=600)
CAPACITIES = (0, 2, 4, 8, 12)


class _LimitedRunner(LastingRunner):
    """Worker that starts whatever it is told to, and records its excess.

    Attributes:
        excesses: Starts that brought the runs over each capacity of the last
            `REPORT_DELAY`.
    """

    def __init__(self, clock, spawn, demands):
        super().__init__(clock, timedelta(seconds=1.5))
        self.excesses = []
        self._spawn = spawn
        self._demands = demands
        self._capacities = [(timedelta(), Resources(0, 0))]

    def set_capacity(self, capacity):
        self._capacities.append((self._clock.monotonic(), capacity))

    async def stop(self, ref, attempt, token):
        if self.lose_stops or not self.reachable:
            return OrderOutcome.UNKNOWN
        self._spawn(self._stop_late(ref, attempt, token))
        return OrderOutcome.ACCEPTED if token >= self.token else OrderOutcome.FENCED

    async def _stop_late(self, ref, attempt, token):
        await self._clock.sleep(STOP_TIME)
        await super().stop(ref, attempt, max(token, self.token))

    def _start(self, order):
        before = len(self.history)
        outcome = super()._start(order)
        if len(self.history) > before and self.history[-1][0] == 'start':
            self._check(order.ref)
        return outcome

    def _check(self, ref):
        limits = self._limits()
        demands = [self._demands[run.job_id] for run in self._runs]
        cpu = sum(demand.cpu_millicores for demand in demands)
        memory = sum(demand.memory_bytes for demand in demands)
        if cpu > max(limit.cpu_millicores for limit in limits) or memory > max(
            limit.memory_bytes for limit in limits
        ):
            self.excesses.append((self._clock.monotonic(), ref, cpu, memory, limits))

    def _limits(self):
        """Returns the capacities that a start may go by at this time."""
        since = self._clock.monotonic() - REPORT_DELAY
        recent = [capacity for at, capacity in self._capacities if at > since]
        before = [capacity for at, capacity in self._capacities if at <= since]
        return [before[-1], *recent]


class _Scenario:
    """Random submissions, cancellations, capacities, lost stops and leaders."""

    def __init__(self, seed):
        self.deployment = InMemoryDeployment(workers=0)
        self._rng = random.Random(seed)
        self._demands = {}
        self._process = None
        self._leaders = 0
        for number in range(WORKER_COUNT):
            name = f'w{number}'
            self.deployment.add_worker(name)
            self.deployment.runners[name] = _LimitedRunner(
                self.deployment.clock, self.deployment.spawn, self._demands
            )
            self._change_capacity(name)

    async def play(self):
        await self._change_leader()
        actions = {
            self._submit: 10,
            self._cancel: 4,
            self._change_capacity: 6,
            self._change_orders: 3,
            self._change_leader: 1,
        }
        for _ in range(CHANGE_COUNT):
            action = self._rng.choices(list(actions), list(actions.values()))[0]
            waiting = action()
            if waiting is not None:
                await waiting
            await self.deployment.wait(self._rng.uniform(0.02, 0.4))

    def excesses(self):
        return [
            (name, *excess)
            for name, runner in self.deployment.runners.items()
            for excess in runner.excesses
        ]

    def _submit(self):
        prefix = LASTING if self._rng.random() < 0.3 else 'j'
        name = JobId(f'{prefix}{len(self._demands)}')
        demand = Resources(
            1000 * self._rng.randint(1, 3), 1024**3 * self._rng.randint(1, 4)
        )
        step = StepSpec(self._rng.randint(1, 4), demand, long_running=prefix == LASTING)
        self._demands[name] = demand
        submission = Submission(
            name, QUEUE, JobSpec('', (step,)), accepted_at=self.deployment.clock.now()
        )
        self.deployment.spawn(self.deployment.intake.submit(submission))

    def _cancel(self):
        if self._demands:
            name = self._rng.choice(list(self._demands))
            self.deployment.spawn(self.deployment.intake.cancel(name))

    def _change_capacity(self, name=None):
        name = name or self._rng.choice(list(self.deployment.runners))
        size = self._rng.choice(CAPACITIES)
        capacity = Resources(1000 * size, 2 * size * 1024**3)
        self.deployment.runners[name].set_capacity(capacity)
        self.deployment.change_worker(name, capacity=capacity)

    def _change_orders(self):
        """Changes how orders to a worker fail: lost stops, late starts, lost answers."""
        runner = self._rng.choice(list(self.deployment.runners.values()))
        runner.lose_stops = self._rng.random() < 0.5
        delay_ms = self._rng.choice((0, START_DELAY_LIMIT_MS))
        runner.start_delay = timedelta(milliseconds=delay_ms)
        runner.drop_start_answers = self._rng.randint(0, 2)

    async def _change_leader(self):
        if self._process is not None:
            await self.deployment.kill(self._process)
        self._leaders += 1
        self._process = self.deployment.process(f'p{self._leaders}')
        await self.deployment.wait(0.5)


@pytest.mark.parametrize('seed', SEEDS)
async def test_starts_respect_a_capacity_that_shrinks_and_grows(seed):
    """Guards against a start that brings a worker over the capacity it reports, which
    has shrunk while starts were under way or while stops were not confirmed, also by
    the next leader."""
    state = random.getstate()
    random.seed(seed)
    scenario = _Scenario(seed)
    try:
        await scenario.play()
        assert scenario.deployment.starts()
        assert not scenario.excesses()
    finally:
        await scenario.deployment.close()
        random.setstate(state)
