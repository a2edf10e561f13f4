"""Tests that lasting tasks run again in time after many workers are lost at once."""

from dataclasses import replace

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch._starvation_guard import MAX_SEARCHES
from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.dispatch.tests.lasting_runner import LASTING, add_lasting_worker
from chiveworks.dispatch.tests.test_interrupted_tasks import (
    CORES,
    PATIENT,
    RUN_TIME,
    lasting,
)
from chiveworks.workflow import StepSpec

#: Time in seconds within which the platform wants a lasting task to run again.
RESTART_LIMIT = 9
#: Number of submissions to an `InMemoryDeployment` in a second.
SUBMISSIONS = 20


class LossyFleet:
    """Workers that hold one long-running task each, of which some are lost."""

    def __init__(self):
        self.deployment = InMemoryDeployment(workers=0)

    async def add_worker(self, name, cores, label=''):
        """Adds a worker and a long-running task that starts there, if it has cores."""
        add_lasting_worker(self.deployment, name, CORES)
        if label:
            self.deployment.change_worker(name, labels=frozenset((label,)))
        await self.deployment.wait(0.3)
        if cores:
            step = replace(lasting(cores), required_label=label)
            job_id = JobId(LASTING + name)
            await self.deployment.submit(job_id, step, queue=PATIENT)
            await self.deployment.wait(0.1)
            assert self.running_on(name)

    async def add_backlog(self, worker_count):
        """Submits short tasks of one core that end at different times.

        They occupy all cores of the given number of workers for longer than a test.
        """
        width = CORES * worker_count // SUBMISSIONS + 1
        for number in range(SUBMISSIONS):
            await self._submit_short(f'short{number}', width)
        await self._submit_short('rest', width * SUBMISSIONS * 2 * RESTART_LIMIT)

    async def lose(self, names):
        """Loses workers, and waits as long as restarts may take."""
        for name in names:
            self.deployment.runners[name].leave()
        await self.deployment.wait(RESTART_LIMIT)
        assert self.deployment.leaders['a'].scheduler.table.ready

    def running_on(self, name):
        """Returns the ids of the lasting jobs that run on a worker."""
        running = self.deployment.runners[name].running
        return {ref.job_id for ref in running if ref.job_id.startswith(LASTING)}

    def running(self):
        """Returns the ids of the lasting jobs that run."""
        return set().union(*map(self.running_on, self.deployment.runners))

    async def _submit_short(self, name, width):
        step = StepSpec(width, Resources(1000, 1), RUN_TIME)
        await self.deployment.submit(name, step, queue=PATIENT)


@pytest.fixture
async def fleet():
    created = LossyFleet()
    await start_leader(created.deployment)
    yield created
    await created.deployment.close()


@pytest.mark.parametrize('lost_count', [4, 8])
async def test_all_lasting_tasks_of_lost_workers_run_again_in_time(fleet, lost_count):
    """Guards against lasting tasks that wait for room for seconds after the leases of
    many workers have lapsed, because smaller tasks take each core."""
    lost = [f'lost{number}' for number in range(lost_count)]
    kept = [f'kept{number}' for number in range(4 * lost_count)]
    for name in lost:
        await fleet.add_worker(name, cores=3)
    for name in kept:
        await fleet.add_worker(name, cores=0)
    await fleet.add_backlog(len(kept))
    await fleet.lose(lost)
    assert fleet.running() == {LASTING + name for name in lost}


@pytest.mark.parametrize(
    ('cores', 'label'), [(CORES, ''), (3, 'rare')], ids=['large', 'labelled']
)
async def test_tasks_that_no_worker_can_hold_do_not_keep_others_from_room(
    fleet, cores, label
):
    """Guards against a task for which no room is kept, because the tasks before it, for
    which there is none, use up all searches for a worker in each check."""
    lost = [f'lost{number}' for number in range(MAX_SEARCHES + 1)]
    kept = [f'kept{number}' for number in range(len(lost))]
    for name in lost:
        await fleet.add_worker(name, cores, label)
    await fleet.add_worker('last', cores=3)
    for name in kept:
        # Leaves room for a task of three cores, not of four.
        await fleet.add_worker(name, cores=1)
    await fleet.add_backlog(len(kept))
    await fleet.lose([*lost, 'last'])
    assert LASTING + 'last' in fleet.running()
