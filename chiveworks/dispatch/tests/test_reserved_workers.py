"""Tests the reservations that are made for interrupted long-running tasks."""

import pytest

from chiveworks.base import WorkerId
from chiveworks.dispatch.tests.test_interrupted_tasks import PATIENT, REF, Fleet


@pytest.fixture
async def reserved():
    """A fleet on which a worker is reserved for the long-running task."""
    fleet = Fleet()
    await fleet.start(3, 3, PATIENT)
    await fleet.add_backlog(1, 100, PATIENT)
    await fleet.drain()
    for _ in range(250):
        if fleet.deployment.log.named('worker_reserved'):
            break
        await fleet.deployment.wait(0.01)
    yield fleet
    await fleet.deployment.close()


def reservations(fleet):
    workers = fleet.deployment.leaders['a'].scheduler.fleet.workers
    return [name for name, worker in workers.items() if REF in worker.reservations]


async def test_a_reservation_ends_with_its_job(reserved):
    """Guards against capacity that stays reserved for a cancelled job."""
    assert len(reservations(reserved)) == 1
    await reserved.deployment.intake.cancel(REF.job_id)
    await reserved.deployment.wait(1)
    assert not reservations(reserved)


async def test_a_reservation_moves_when_its_worker_drains(reserved):
    """Guards against a task that waits for a worker that accepts no tasks any more."""
    (first,) = reservations(reserved)
    reserved.deployment.change_worker(first, draining=True)
    await reserved.deployment.wait(3)
    (second,) = reserved.running_on()
    assert second != first
    worker = reserved.deployment.leaders['a'].scheduler.fleet.workers[WorkerId(first)]
    assert not worker.reservations


async def test_most_workers_stay_open_to_short_tasks(reserved):
    """Guards against reservations that stop all short tasks for a lasting one."""
    (name,) = reservations(reserved)
    (other,) = {'w1', 'w2'} - {name}
    before = len(reserved.deployment.done())
    await reserved.deployment.wait(1)
    assert len(reserved.deployment.runners[other].running) == 4
    assert len(reserved.deployment.done()) >= before + 4
