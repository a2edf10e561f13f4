"""Tests orders and polls for a worker that has started again under its id."""

import asyncio
import random
from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.dispatch.tests.observed_runner import ObservedRunner, RunObserver
from chiveworks.workflow import JobState, StepSpec

CORE = Resources(1000, 1)
CORES = 16
RUN_TIME = timedelta(milliseconds=200)
#: Time from a restart until the worker can be reached again.
DOWNTIME_S = 0.03


class RestartingDeployment(InMemoryDeployment):
    """Deployment of workers whose runs are observed across their restarts.

    Args:
        workers: Number of workers.
    """

    def __init__(self, workers):
        super().__init__(workers=0)
        self.observer = RunObserver(self.runners)
        for number in range(workers):
            name = f'w{number}'
            self.add_worker(name, CORES)
            self.runners[name] = ObservedRunner(self.clock, self.observer, name)
            self.runners[name]._duration = RUN_TIME
            self.change_worker(name, born_ms=self.runners[name].born_ms)

    def restart(self, name):
        """Begins the next life of a worker under its id, while it is out of reach."""
        runner = self.runners[name]
        runner.crash()
        runner.restart()

    async def restart_unnoticed(self, name):
        """Restarts a worker so fast that only its open connections show it."""
        self.restart(name)
        await self.wait(DOWNTIME_S)
        self.runners[name].reachable = True
        self.change_worker(name, born_ms=self.runners[name].born_ms)

    async def submit_and_complete(self, name, count):
        """Runs a job of one step."""
        await self.submit(name, StepSpec(count, CORE))
        await self.wait(1)
        assert await self.state(name) is JobState.COMPLETED


@pytest.fixture
async def deployment():
    created = RestartingDeployment(workers=1)
    try:
        await start_leader(created)
        # The first life has reported ends, which the leader acknowledges from now on.
        await created.submit_and_complete('first', 8)
        yield created
    finally:
        await created.close()


async def test_a_new_life_keeps_the_ends_that_a_poll_for_the_former_one_covers(
    deployment,
):
    """Guards against a second run of a task that is done: a start that reaches the new
    life of a worker before its first report ends there, and the next poll, meant for the
    former life, acknowledges this end unseen."""
    deployment.runners['w0'].start_delay = timedelta(milliseconds=50)
    await deployment.submit('j', StepSpec(1, CORE))
    await deployment.restart_unnoticed('w0')
    await deployment.wait(3)
    assert await deployment.state('j') is JobState.COMPLETED
    assert not deployment.observer.violations
    assert len([ref for ref in deployment.starts() if ref.job_id == 'j']) == 1


async def test_a_waiting_poll_for_a_former_life_acknowledges_no_later_ends(deployment):
    """Guards against a second run of a task that is done: its end comes while a poll with
    the acknowledgement for the former life waits at the new one."""
    runner = deployment.runners['w0']
    for number in range(20):
        await deployment.submit(f'j{number}', StepSpec(2, CORE))
        if number % 5 == 2:
            runner.start_delay = timedelta(milliseconds=100)
            await deployment.restart_unnoticed('w0')
    await deployment.wait(8)
    assert not deployment.observer.violations
    states = {await deployment.state(f'j{number}') for number in range(20)}
    assert states == {JobState.COMPLETED}


async def test_a_start_for_a_former_life_is_not_executed_by_the_next(deployment):
    """Guards against a run whose claim names a life that is gone, which the new life
    starts although the leader has released it."""
    scheduler = deployment.leaders['a'].scheduler
    worker = scheduler.fleet.workers['w0']
    born_ms = worker.born_ms
    await deployment.submit('j', StepSpec(1, CORE))
    (task,) = scheduler.table.jobs[JobId('j')].tasks()
    assert task.worker_born_ms == born_ms
    await deployment.restart_unnoticed('w0')
    await deployment.wait(3)
    assert worker.born_ms == born_ms + 1
    assert await deployment.state('j') is JobState.COMPLETED
    assert not deployment.observer.violations


async def test_a_crash_counts_once_for_a_start_without_a_response(deployment):
    """Guards against a job shown as failed after two crashes: one that left a start without
    a response was counted as the worker came back, and again as the run was released."""
    runner = deployment.runners['w0']
    runner.lose_starts = runner.lose_stops = True
    await deployment.submit('j', StepSpec(1, CORE))
    await deployment.wait(0.5)
    await deployment.restart_unnoticed('w0')
    await deployment.wait(0.5)
    runner.lose_starts = runner.lose_stops = False
    await deployment.wait(3)
    crashes = deployment.log.named('worker_crashed')
    suspects = [suspect for crash in crashes for suspect in crash['suspects']]
    assert [(suspect[0], suspect[-1]) for suspect in suspects] == [('j', 1)]
    assert await deployment.state('j') is JobState.COMPLETED


async def test_a_new_life_gets_no_work_by_the_labels_of_the_former_one(deployment):
    """Guards against tasks that require a label and start on a worker without it, which
    has started again as another kind and whose new entry has not been read."""
    deployment.change_worker('w0', labels=frozenset(('a',)))
    deployment.restart('w0')
    deployment.runners['w0'].reachable = True
    await deployment.wait(1)
    await deployment.submit('j', StepSpec(1, CORE, required_label='a'))
    await deployment.wait(2)
    assert not [ref for ref in deployment.starts() if ref.job_id == 'j']
    born_ms = deployment.runners['w0'].born_ms
    deployment.change_worker('w0', labels=frozenset(('b',)), born_ms=born_ms)
    await deployment.wait(1)
    assert await deployment.state('j') is JobState.QUEUED
    await deployment.submit_and_complete('other', 1)


@pytest.mark.parametrize('seed', range(12))
async def test_restarts_and_cuts_at_random_times_run_nothing_twice(seed):
    """Guards against second runs, and against tasks that wait for ever, while workers
    start again under their ids and are cut off soon after."""
    rng = random.Random(seed)
    deployment = RestartingDeployment(workers=4)
    one_at_a_time = asyncio.Lock()
    try:
        await start_leader(deployment)
        jobs = [f'j{number}' for number in range(80)]
        for job in jobs:
            await deployment.submit(job, StepSpec(rng.randint(1, 6), CORE))
            runner = rng.choice(list(deployment.runners.values()))
            runner._duration = timedelta(milliseconds=rng.choice((50, 200, 900)))
            runner.start_delay = timedelta(milliseconds=rng.choice((0, 0, 40, 200)))
            if rng.random() < 0.15:
                deployment.spawn(_restart_and_cut(deployment, rng, one_at_a_time))
            await deployment.wait(rng.uniform(0, 0.3))
        await deployment.wait(20)
        assert not deployment.observer.violations
        states = {await deployment.state(job) for job in jobs}
        assert states == {JobState.COMPLETED}
    finally:
        await deployment.close()


async def _restart_and_cut(deployment, rng, one_at_a_time):
    name = rng.choice(sorted(deployment.runners))
    runner = deployment.runners[name]
    # A task that loses three workers in a row is given up.
    async with one_at_a_time:
        deployment.restart(name)
        await deployment.clock.sleep(timedelta(seconds=rng.uniform(0, 0.7)))
        runner.reachable = True
        deployment.change_worker(name, born_ms=runner.born_ms)
        await deployment.clock.sleep(timedelta(seconds=rng.uniform(0.1, 1)))
        runner.reachable = False
        await deployment.clock.sleep(timedelta(seconds=rng.uniform(0.1, 1.5)))
        runner.reachable = True
