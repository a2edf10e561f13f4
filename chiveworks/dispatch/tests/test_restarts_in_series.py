"""Tests that lasting tasks run while leaders are replaced in series."""

import itertools
import os
import random
from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.lasting_runner import LASTING, add_lasting_worker
from chiveworks.dispatch.tests.test_departing_workers import (
    NOTICE,
    RESTART_LIMIT,
    STOP_DURATION,
    Handover,
)
from chiveworks.metastore._candidacy import LEADER_TTL
from chiveworks.workflow import StepSpec, TaskRef

#: Time within which a run ends that another leader has to stop.
STOP_LIMIT = 0.5
#: Time in seconds for which the platform allows a lasting task not to run although there
#: is capacity.
IDLE_LIMIT = 3
LASTING_STEP = StepSpec(4, Resources(1000, 1), long_running=True)
REPLACED_WORKERS = 12
WORKER_GAP = timedelta(milliseconds=700)
OBSERVATION_GAP = 0.05


@pytest.fixture
async def handover():
    created = Handover()
    yield created
    await created.deployment.close()


async def lead_briefly(handover, number):
    """Replaces the leader by a process whose term ends during its recovery."""
    await handover.replace_leader(number)
    leaders = handover.deployment.leaders
    while leaders[f'leader{number}'].scheduler is None:
        await handover.deployment.wait(0.001)


@pytest.mark.parametrize('count', [1, 3])
async def test_a_term_that_ends_during_its_recovery_does_not_extend_the_wait(
    handover, count
):
    """Guards against a lasting task that waits for a whole lease once more: a term that
    had written nothing made the record of the term before it worthless."""
    name = await handover.start()
    await handover.deployment.wait(2)
    handover.leave(name)
    await handover.deployment.wait(5)
    for number in range(1, count + 1):
        await lead_briefly(handover, number)
    await handover.replace_leader(count + 1)
    await handover.deployment.wait(RESTART_LIMIT - 5)
    assert handover.running_on()


@pytest.mark.parametrize('killed_before', [0.2, 1, 1.5, 2, 2.5, 4])
async def test_a_leader_killed_before_an_announced_departure_loses_no_run(
    handover, killed_before
):
    """Guards against a lasting task that waits for a lease: its worker left as announced
    while no process led, and only the next leader could have stopped the run."""
    name = await handover.start()
    handover.deployment.runners[name].stop_duration = STOP_DURATION
    handover.deployment.change_worker(
        name, draining=True, remaining=timedelta(seconds=NOTICE)
    )
    await handover.deployment.wait(NOTICE - killed_before)
    await handover.replace_leader(1, killed=True)
    await handover.deployment.wait(killed_before)
    handover.leave(name)
    assert handover.ends_on(name) == ['stopped']
    await handover.deployment.wait(LEADER_TTL.total_seconds() + STOP_LIMIT)
    assert handover.running_on()


class RollingRestarts(Handover):
    """Lasting tasks while workers are replaced and leaders resign at random times.

    Args:
        seed: Seed of the times.
    """

    def __init__(self, seed):
        super().__init__()
        self._rng = random.Random(seed)
        self._idle_since = {}
        self.longest_idle = 0

    async def start(self):
        """Starts the first leader and the tasks."""
        name = await super().start()
        self.deployment.runners[name].stop_duration = STOP_DURATION
        await self.deployment.submit(JobId(f'{LASTING}2'), LASTING_STEP)
        await self.deployment.wait(2)

    async def replace_workers(self):
        """Announces departures one after the other; each is followed by a new worker."""
        for number in range(REPLACED_WORKERS):
            name = f'w{number}'
            self.deployment.change_worker(
                name, draining=True, remaining=timedelta(seconds=NOTICE)
            )
            add_lasting_worker(self.deployment, f'w{number + 3}')
            self.deployment.runners[f'w{number + 3}'].stop_duration = STOP_DURATION
            self.deployment.spawn(self._end_worker(name))
            await self.deployment.clock.sleep(WORKER_GAP)

    async def restart_leaders(self):
        """Replaces leaders until it is cancelled, some of them during their recovery."""
        for number in itertools.count(1):
            gap = self._rng.choice((0.005, 0.03, 0.2, 0.7, 2))
            await self.deployment.clock.sleep(timedelta(seconds=gap))
            await self.replace_leader(number)

    async def observe(self, seconds):
        """Measures for how long tasks do not run, in seconds."""
        refs = [TaskRef(JobId(f'{LASTING}2'), 0, 0, number) for number in range(4)]
        for _ in range(int(seconds / OBSERVATION_GAP)):
            await self.deployment.wait(OBSERVATION_GAP)
            for ref in refs:
                self._note(ref, self._count_runs(ref))

    def _note(self, ref, count):
        assert count <= 1
        now = self.deployment.clock.monotonic()
        since = self._idle_since.setdefault(ref, now)
        if count:
            self._idle_since[ref] = now
        self.longest_idle = max(self.longest_idle, (now - since).total_seconds())

    def _count_runs(self, ref):
        runners = self.deployment.runners.values()
        return sum(ref in runner.running for runner in runners)

    async def _end_worker(self, name):
        await self.deployment.clock.sleep(timedelta(seconds=NOTICE))
        self.leave(name)


@pytest.mark.parametrize('seed', range(int(os.environ.get('RESTART_SEEDS', '2'))))
async def test_planned_restarts_and_departures_leave_no_lasting_task_without_a_run(
    seed,
):
    """Guards against a lasting task that does not run although all that happens is
    planned: the entry instances are restarted while workers are replaced."""
    restarts = RollingRestarts(seed)
    try:
        await restarts.start()
        restarts.deployment.spawn(restarts.replace_workers())
        restarts.deployment.spawn(restarts.restart_leaders())
        await restarts.observe(REPLACED_WORKERS * WORKER_GAP.total_seconds() + NOTICE)
        assert restarts.longest_idle <= IDLE_LIMIT
    finally:
        await restarts.deployment.close()
