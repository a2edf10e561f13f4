"""Tests that an interrupted long-running task gets the next room that suffices."""

from dataclasses import replace
from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.dispatch.tests.lasting_runner import add_lasting_worker
from chiveworks.workflow import QueuePolicy, StepSpec, TaskRef

#: A job without declared durations is late after 4 s and has expired after 12 s.
QUEUE = QueuePolicy(
    'q', 'pool', priority=1, attempt_limit=3, latency_objective=timedelta(seconds=4)
)
LOWER = replace(QUEUE, name='lower', priority=2)
#: Jobs of this queue are neither late nor expired during a test.
PATIENT = replace(QUEUE, name='patient', latency_objective=timedelta(hours=1))
YOUNG, EXPIRED = 1, 13
RUN_TIME = timedelta(seconds=1)
CORES = 4
REF = TaskRef(JobId('lasting'), 0, 0, 0)
#: Limit in seconds for a restart on cores that must be kept free for it. The short runs
#: there end within `RUN_TIME`.
RESTART_LIMIT = 5


def short(cores):
    return StepSpec(1, Resources(1000 * cores, 1), RUN_TIME)


def lasting(cores):
    return StepSpec(1, Resources(1000 * cores, 1), long_running=True)


class Fleet:
    """Workers of 4 cores, with a long-running task on the first one."""

    def __init__(self):
        self.deployment = InMemoryDeployment(workers=0)
        self.process = None

    async def start(self, worker_count, cores, queue, age=YOUNG):
        """Starts a leader and a long-running task, which is then `age` seconds old."""
        self.process = await start_leader(self.deployment)
        add_lasting_worker(self.deployment, 'w0', CORES)
        await self.deployment.wait(0.5)
        await self.deployment.submit(REF.job_id, lasting(cores), queue=queue)
        for number in range(1, worker_count):
            add_lasting_worker(self.deployment, f'w{number}', CORES)
        await self.deployment.wait(age)
        assert self.running_on() == ['w0']

    async def add_backlog(self, cores, count, queue=QUEUE):
        """Submits short jobs, which begin at different times and leave no core free."""
        for number in range(count):
            await self.deployment.submit(f'short{number}', short(cores), queue=queue)
        assert self.waiting(queue)

    async def drain(self):
        """Ends the run of the long-running task with its worker."""
        now = timedelta()
        self.deployment.change_worker('w0', draining=True, remaining=now)
        await self.deployment.wait(0.3)
        assert not self.running_on()

    def short_runs(self, name):
        """Returns the runs on a worker, which occupy all of its cores."""
        runs = self.deployment.runners[name].running
        assert len(runs) == CORES
        assert REF not in runs
        return runs

    async def wait_for_restart(self, name, short_runs):
        """Waits as long as a restart may take, in which the given short runs end.

        So the long-running task fits on their worker if its cores are kept for it.
        """
        await self.deployment.wait(RESTART_LIMIT)
        assert not short_runs & self.deployment.runners[name].running

    def running_on(self):
        return [
            name
            for name, runner in self.deployment.runners.items()
            if REF in runner.running
        ]

    def waiting(self, queue):
        """Returns the number of tasks of a queue that wait for a worker."""
        (table,) = [
            leader.scheduler.table
            for leader in self.deployment.leaders.values()
            if leader.scheduler is not None
        ]
        return sum(
            len(run.waiting())
            for run in table.ready
            if run.job.queue == queue and run.job.job_id != REF.job_id
        )


@pytest.fixture
async def fleet():
    created = Fleet()
    yield created
    await created.deployment.close()


@pytest.mark.parametrize(
    'age', [YOUNG, EXPIRED], ids=['of_a_young_job', 'of_an_expired_job']
)
async def test_a_failed_lasting_task_is_claimed_before_short_ones(fleet, age):
    """Guards against a long-running task that waits behind all new short tasks of its
    priority after its run has failed, because its job counts as expired."""
    await fleet.start(2, CORES, QUEUE, age)
    await fleet.add_backlog(CORES, 12)
    fleet.deployment.runners['w0'].fail(REF)
    await fleet.deployment.wait(1.5)
    assert fleet.waiting(QUEUE)
    assert fleet.running_on()


@pytest.mark.parametrize(
    'age', [YOUNG, EXPIRED], ids=['of_a_young_job', 'of_an_expired_job']
)
async def test_a_drained_lasting_task_is_claimed_before_short_ones(fleet, age):
    """Guards against a long-running task that waits behind all new short tasks of its
    priority after its worker has left, because its job counts as expired."""
    await fleet.start(2, CORES, QUEUE, age)
    await fleet.add_backlog(CORES, 12)
    await fleet.drain()
    await fleet.deployment.wait(1.5)
    assert fleet.waiting(QUEUE)
    assert fleet.running_on() == ['w1']


@pytest.mark.parametrize(
    'age', [YOUNG, EXPIRED], ids=['of_a_young_job', 'of_an_expired_job']
)
async def test_an_interrupted_lasting_task_is_claimed_first_by_the_next_leader(
    fleet, age
):
    """Guards against a long-running task that waits behind all new short tasks of its
    priority after its run was stopped and the leader has changed."""
    await fleet.start(2, CORES, QUEUE, age)
    fleet.deployment.change_worker('w0', draining=True, remaining=timedelta())
    await fleet.deployment.submit('first', short(CORES), queue=QUEUE)
    assert not fleet.running_on()
    await fleet.deployment.kill(fleet.process)
    await fleet.deployment.wait(2)
    fleet.process = fleet.deployment.process('b')
    await fleet.add_backlog(CORES, 12)
    await fleet.deployment.wait(1.5)
    assert fleet.waiting(QUEUE)
    assert fleet.running_on() == ['w1']


@pytest.mark.parametrize(
    'queue', [PATIENT, LOWER], ids=['of_its_priority', 'of_lower_priority']
)
async def test_a_drained_lasting_task_is_not_starved_by_smaller_tasks(fleet, queue):
    """Guards against a long-running task that waits as long as smaller tasks do, even
    those of a lower priority, because they take each core as it becomes free."""
    await fleet.start(3, 3, PATIENT)
    await fleet.add_backlog(1, 100, queue)
    short_runs = fleet.short_runs('w1')
    await fleet.drain()
    await fleet.wait_for_restart('w1', short_runs)
    assert fleet.waiting(queue)
    assert fleet.running_on()


async def test_a_failed_lasting_task_is_not_starved_by_smaller_tasks(fleet):
    """Guards against a long-running task whose job has expired and whose room is taken
    by smaller tasks of its priority as soon as its run fails."""
    await fleet.start(2, 3, QUEUE, EXPIRED)
    await fleet.add_backlog(1, 100)
    short_runs = fleet.short_runs('w1')
    fleet.deployment.runners['w0'].fail(REF)
    await fleet.wait_for_restart('w1', short_runs)
    assert fleet.waiting(QUEUE)
    assert fleet.running_on()
