"""Tests that an interrupted long-running task gets the next room that suffices."""

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
YOUNG, EXPIRED = 1, 13
RUN_TIME = timedelta(seconds=1)
CORES = 4
REF = TaskRef(JobId('lasting'), 0, 0, 0)


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
