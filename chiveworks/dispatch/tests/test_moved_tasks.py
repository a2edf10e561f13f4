"""Tests that moved tasks run again on their target worker, and delay no others."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources, WorkerId
from chiveworks.dispatch._interference_weight import InterferenceWeight
from chiveworks.dispatch.tests.deployment import (
    GIGABYTE,
    InMemoryDeployment,
    start_leader,
)
from chiveworks.dispatch.tests.lasting_runner import add_lasting_worker
from chiveworks.workflow import QueuePolicy, StepSpec, TaskRef

SERVING = QueuePolicy('serving', 'pool', priority=1, attempt_limit=3)
FIRST = QueuePolicy('first', 'pool', priority=0, attempt_limit=3)
LAST = QueuePolicy('last', 'pool', priority=2, attempt_limit=3)
CORE = Resources(1000, GIGABYTE)
#: Filling task that fits on no worker; moves are planned only while one waits.
WAITING_FILLER = StepSpec(1, Resources(1000, 100 * GIGABYTE), fills=True, image='calm')
#: Time from a move to its next start: stop, report, claim, durable claim and start.
MOVE_TIME = 0.3


def serving(image):
    return StepSpec(
        1,
        Resources(4000, GIGABYTE),
        long_running=True,
        image=image,
        latency_target=timedelta(milliseconds=20),
    )


class Fleet:
    """Workers of 10 cores, with serving tasks of 4 cores."""

    def __init__(self):
        self.deployment = InMemoryDeployment(workers=0)

    async def start(self, *workers):
        """Starts a leader and fills the workers, each named with its images."""
        await start_leader(self.deployment)
        for name, *images in workers:
            add_lasting_worker(self.deployment, name)
            await self.deployment.wait(0.5)
            for image in images:
                await self.deployment.submit(
                    f'lasting-{image}-{name}', serving(image), queue=SERVING
                )
        await self.deployment.wait(3)
        for name, *images in workers:
            running = {ref.job_id for ref in self.running(name)}
            assert running == {f'lasting-{image}-{name}' for image in images}

    async def move(self):
        """Lets the consolidator learn which images differ and move a task."""
        scheduler = self.deployment.leaders['a'].scheduler
        scheduler.model.weights_ = {
            'fast': {'loud': InterferenceWeight(7, 0.1)},
            'steady': {'loud': InterferenceWeight(1, 0.1)},
        }
        await self.deployment.submit('filler', WAITING_FILLER, queue=LAST)
        for _ in range(100):
            if self.deployment.log.named('serving_task_moved'):
                return
            await self.deployment.wait(0.01)
        raise AssertionError('no task was moved')

    def running(self, name):
        return self.deployment.runners[name].running

    def task(self, job):
        scheduler = self.deployment.leaders['a'].scheduler
        return scheduler.table.find(TaskRef(JobId(job), 0, 0, 0))

    def worker(self, name):
        return self.deployment.leaders['a'].scheduler.fleet.workers[WorkerId(name)]


@pytest.fixture
async def fleet():
    created = Fleet()
    yield created
    await created.deployment.close()


@pytest.mark.parametrize('queue', [FIRST, SERVING])
async def test_a_moved_task_is_claimed_although_a_smaller_step_did_not_fit(
    fleet, queue
):
    """Guards against a moved task that is passed over on the room reserved for it, as
    long as smaller tasks of a higher rank find no room."""
    await fleet.start(('w0', 'fast', 'steady'), ('w1', 'steady'))
    fleet.deployment.runners['w0'].lose_stops = True
    await fleet.move()
    await fleet.deployment.submit('backlog', StepSpec(400, CORE), queue=queue)
    assert fleet.worker('w1').reservations
    fleet.deployment.runners['w0'].lose_stops = False
    await fleet.deployment.wait(MOVE_TIME)
    moved = fleet.task('lasting-steady-w0')
    assert (moved.worker, moved.attempt) == ('w1', 2)


async def test_exchanged_tasks_are_claimed_although_a_smaller_step_did_not_fit(fleet):
    """Guards against an exchange after which both tasks are passed over, although
    each has left the room that is reserved for the other."""
    await fleet.start(('w0', 'fast', 'steady'), ('w1', 'steady', 'fast'))
    await fleet.deployment.submit('backlog', StepSpec(400, CORE), queue=FIRST)
    await fleet.move()
    assert len(fleet.deployment.log.named('serving_task_moved')) == 2
    await fleet.deployment.wait(MOVE_TIME)
    steady, fast = (fleet.task(f'lasting-{name}') for name in ('steady-w0', 'fast-w1'))
    assert (steady.worker, fast.worker) == ('w1', 'w0')


async def test_a_moved_task_is_claimed_once_its_partner_has_left(fleet):
    """Guards against a moved task that is passed over in the first round after its
    exchange partner, which takes longer to stop, has left."""
    await fleet.start(('w0', 'fast', 'steady'), ('w1', 'steady', 'fast'))
    await fleet.deployment.submit('backlog', StepSpec(400, CORE), queue=FIRST)
    fleet.deployment.runners['w1'].lose_stops = True
    await fleet.move()
    await fleet.deployment.wait(MOVE_TIME)
    steady = fleet.task('lasting-steady-w0')
    assert (steady.worker, steady.reserved_worker) == (None, 'w1')
    fleet.deployment.runners['w1'].lose_stops = False
    await fleet.deployment.wait(MOVE_TIME)
    assert steady.worker == 'w1'


async def test_a_task_that_waits_for_its_target_delays_no_other_step(fleet):
    """Guards against steps that are passed over although a worker has room for them,
    because a moved task of a higher rank waits for its exchange partner to leave."""
    await fleet.start(('w0', 'fast', 'steady'), ('w1', 'steady', 'fast'))
    add_lasting_worker(fleet.deployment, 'w2')
    fleet.deployment.runners['w1'].lose_stops = True
    await fleet.move()
    await fleet.deployment.wait(MOVE_TIME)
    assert fleet.task('lasting-steady-w0').reserved_worker == 'w1'
    await fleet.deployment.submit('other', serving('fast'), queue=LAST)
    await fleet.deployment.wait(MOVE_TIME)
    assert fleet.task('lasting-steady-w0').worker is None
    assert fleet.task('other').worker == 'w2'
