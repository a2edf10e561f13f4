"""Tests runs on workers that the leader reaches again and its successor does not."""

import random
from datetime import timedelta

import pytest
from result import Err

from chiveworks.base import Failure, JobId, Resources, Step
from chiveworks.dispatch.tests.faulty_deployment import FaultyDeployment
from chiveworks.metastore import LEASES_KEY
from chiveworks.metastore._candidacy import LEADER_TTL
from chiveworks.workflow import StepSpec, TaskRef

REF = TaskRef(JobId('lasting'), 0, 0, 0)
STEP = StepSpec(1, Resources(1000, 1), long_running=True)
SLOW_CLOCK = 0.98
#: Time in seconds within which a lasting task runs again if its worker is lost, and
#: if leaders are killed besides.
RESTART_LIMIT = 9
KILLED_RESTART_LIMIT = RESTART_LIMIT + LEADER_TTL.total_seconds()
FOREVER = 60


class Regained:
    """A lasting task on a worker with a slow clock; machine `m0` leads.

    Attributes:
        deployment: Deployment with the machines `m0` to `m2`.
        name: Worker that runs the task.
    """

    def __init__(self):
        machines = ('m0', 'm1', 'm2')
        self.deployment = FaultyDeployment(machines, random.Random(0))
        self.name = ''

    async def start(self):
        """Starts the leader and the task."""
        for name in ('w0', 'w1'):
            self.deployment.add_observed_worker(name, 10, timedelta(), SLOW_CLOCK)
        self.deployment.start_process('m0')
        await self.deployment.wait(0.5)
        await self.deployment.submit(REF.job_id, STEP)
        await self.deployment.wait(3.1)
        (self.name,) = self.running_on()

    def cut(self, seconds, *machines):
        """Cuts the worker off from machines."""
        links = self.deployment.worker_links[self.name]
        for machine in machines:
            links[machine].cut_until = self._end(seconds)

    def refuse(self, seconds, machine):
        """Lets the store refuse the calls of a machine."""
        self.deployment.store_links[machine].refused_until = self._end(seconds)

    async def check_for(self, seconds):
        """Checks that the task never has two runs."""
        for _ in range(round(seconds / 0.05)):
            await self.deployment.wait(0.05)
            assert len(self.running_on()) <= 1
        assert not self.deployment.observer.violations

    def running_on(self):
        """Returns the workers that run the task."""
        runners = self.deployment.runners.items()
        return [name for name, runner in runners if REF in runner.running]

    def starts(self):
        """Returns the number of runs."""
        return self.deployment.starts().count(REF)

    def _end(self, seconds):
        return self.deployment.clock.monotonic() + timedelta(seconds=seconds)


@pytest.fixture
async def regained():
    created = Regained()
    await created.start()
    yield created
    await created.deployment.close()


@pytest.mark.parametrize('refused_after', [3.9, 3.95, 4.05, 4.1, 4.15, 4.2])
async def test_a_lease_is_not_extended_while_the_store_holds_its_end(
    regained, refused_after
):
    """Guards against a second run: the leader reached the worker again and extended its
    lease, but was replaced before it could store that, and the next leader, out of
    reach of the worker, counted the stored time."""
    regained.deployment.start_process('m1')
    regained.cut(4, 'm0')
    regained.cut(FOREVER, 'm1')
    await regained.check_for(refused_after)
    regained.refuse(FOREVER, 'm0')
    await regained.check_for(KILLED_RESTART_LIMIT)
    assert regained.running_on() and regained.running_on() != [regained.name]


async def test_the_record_is_read_once_the_term_is_won(regained):
    """Guards against a second run: the next leader counted a record that it had read
    before the leader reached the worker again and extended its lease."""
    regained.cut(4, 'm0')
    regained.cut(FOREVER, 'm1')
    await regained.check_for(3.9)
    regained.deployment.start_process('m1')
    await regained.check_for(3)
    assert regained.running_on() == [regained.name]
    await regained.deployment.end_process('m0')
    await regained.check_for(KILLED_RESTART_LIMIT)
    assert regained.running_on() and regained.running_on() != [regained.name]


async def test_a_run_goes_on_after_its_worker_is_reached_again(regained):
    """Guards against a lease that stays frozen, so that the run ends with it."""
    for _ in range(2):
        regained.cut(2, 'm0')
        await regained.check_for(9)
    assert regained.running_on() == [regained.name]
    assert regained.starts() == 1


@pytest.mark.parametrize('phase_ms', [0, 250, 500, 750])
@pytest.mark.parametrize(
    ('change_times', 'killed'), [((1, 4), True), ((1, 3, 5), False)]
)
async def test_a_worker_that_is_cut_off_is_waited_for_until_its_lease_has_lapsed(
    regained, phase_ms, change_times, killed
):
    """Guards against a second run before the lease has lapsed on a slow clock, and
    against a wait that begins anew with each leader while the worker is listed."""
    await regained.check_for(phase_ms / 1000)
    regained.cut(FOREVER, 'm0', 'm1', 'm2')
    passed = 0
    leader = 'm0'
    for number, change_time in enumerate(change_times, 1):
        await regained.check_for(change_time - passed)
        passed = change_time
        await regained.deployment.end_process(leader)
        if not killed:
            await regained.deployment.leaders[leader].resign()
        leader = f'm{number % 3}'
        regained.deployment.start_process(leader)
    limit = KILLED_RESTART_LIMIT if killed else RESTART_LIMIT
    await regained.check_for(limit - passed)
    assert regained.running_on()


async def test_a_record_that_cannot_be_read_is_read_again(regained):
    """Guards against a wait for a whole lease after one failed call of the store."""
    regained.cut(FOREVER, 'm0', 'm1')
    await regained.check_for(4)
    link = regained.deployment.store_links['m1']
    read = link.read

    async def fail_once(key, *, stale=False):
        if key == LEASES_KEY:
            link.read = read
            return Err(Failure.not_run(Step.STORE_WRITE, 'store', 'refused'))
        return await read(key, stale=stale)

    link.read = fail_once
    await regained.deployment.end_process('m0')
    await regained.deployment.leaders['m0'].resign()
    regained.deployment.start_process('m1')
    await regained.check_for(RESTART_LIMIT - 4)
    assert link.read == read
    assert regained.running_on()
