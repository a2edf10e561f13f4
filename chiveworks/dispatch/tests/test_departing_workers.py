"""Tests that work goes on when workers leave as announced while leaders change."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.dispatch.tests.lasting_runner import LASTING, add_lasting_worker
from chiveworks.metastore import LEASES_KEY
from chiveworks.metastore._candidacy import LEADER_TTL
from chiveworks.workflow import StepSpec, TaskRef

REF = TaskRef(JobId(LASTING), 0, 0, 0)
STEP = StepSpec(1, Resources(1000, 1), long_running=True)
#: Time in seconds from the announcement of a departure to the departure.
NOTICE = 6
#: Time that the platform allows a worker for a stop.
STOP_DURATION = timedelta(milliseconds=900)
#: Time in seconds within which the platform wants a lasting task to run again.
RESTART_LIMIT = 9
#: The same if leaders are killed, whose terms end some time later.
KILLED_RESTART_LIMIT = RESTART_LIMIT + LEADER_TTL.total_seconds()


class Handover:
    """A lasting task on a worker that leaves, and leaders that follow each other."""

    def __init__(self):
        self.deployment = InMemoryDeployment(workers=0)
        self.process = None
        self._leader = ''

    async def start(self):
        """Starts the first leader and the task; returns the name of its worker."""
        for name in ('w0', 'w1', 'w2'):
            add_lasting_worker(self.deployment, name)
        self._leader = 'leader0'
        self.process = await start_leader(self.deployment, self._leader)
        await self.deployment.submit(REF.job_id, STEP)
        (name,) = self.running_on()
        return name

    async def replace_leader(self, number, *, killed=False):
        """Replaces the leader by another process, which has not run before."""
        await self.deployment.kill(self.process)
        if not killed:
            await self.deployment.leaders[self._leader].resign()
        self._leader = f'leader{number}'
        self.process = self.deployment.process(self._leader)

    def leave(self, name):
        """Ends a worker with all of its runs and removes it from the list."""
        self.deployment.runners[name].leave()
        self.deployment.store.remove(f'workers/{name}')

    def running_on(self):
        """Returns the workers that run the task."""
        return [
            name
            for name, runner in self.deployment.runners.items()
            if REF in runner.running
        ]

    def ends_on(self, name):
        """Returns how the runs on a worker have ended, in order."""
        history = self.deployment.runners[name].history
        return [entry[0] for entry in history if entry[0] != 'start']


@pytest.fixture
async def handover():
    created = Handover()
    yield created
    await created.deployment.close()


@pytest.mark.parametrize('changes', [1, 2])
@pytest.mark.parametrize('killed', [False, True])
async def test_a_new_leader_stops_runs_before_a_draining_worker_leaves(
    handover, changes, killed
):
    """Guards against the loss of runs with a worker that announced its departure to an
    earlier leader: the notice was counted from the beginning of the term."""
    name = await handover.start()
    handover.deployment.change_worker(
        name, draining=True, remaining=timedelta(seconds=NOTICE)
    )
    before_change = 3 / changes
    for number in range(changes):
        await handover.deployment.wait(before_change)
        await handover.replace_leader(number + 1, killed=killed)
    await handover.deployment.wait(NOTICE - 3 - 0.01)
    handover.leave(name)
    assert handover.ends_on(name) == ['stopped']
    await handover.deployment.wait(0.5)
    assert handover.running_on()


async def test_a_slow_stop_ends_before_its_worker_leaves(handover):
    """Guards against the loss of a run with a worker that leaves as announced: the stop
    took as long as the platform allows, and its end was not reported in time."""
    name = await handover.start()
    runner = handover.deployment.runners[name]
    runner.stop_duration = STOP_DURATION
    handover.deployment.change_worker(
        name, draining=True, remaining=timedelta(seconds=NOTICE)
    )
    await handover.deployment.wait(NOTICE)
    handover.leave(name)
    assert handover.ends_on(name) == ['stopped']
    await handover.deployment.wait(0.5)
    assert handover.running_on()


@pytest.mark.parametrize(
    ('change_times', 'killed', 'limit'),
    [
        ((2, 4, 6), False, RESTART_LIMIT),
        ((1, 3, 5, 7), False, RESTART_LIMIT),
        ((0.05, 0.9, 1.8, 2.7, 3.6, 4.5), False, RESTART_LIMIT),
        ((1,), True, RESTART_LIMIT),
        ((1, 4), True, KILLED_RESTART_LIMIT),
    ],
)
async def test_a_change_of_the_leader_does_not_extend_the_wait_for_a_lost_worker(
    handover, change_times, killed, limit
):
    """Guards against a lasting task that waits for as long as leaders are replaced: each
    of them waited for a whole lease of a worker that was gone before its term."""
    name = await handover.start()
    await handover.deployment.wait(2)
    handover.leave(name)
    passed = 0
    for number, change_time in enumerate(change_times, 1):
        await handover.deployment.wait(change_time - passed)
        passed = change_time
        if not handover.running_on():
            await handover.replace_leader(number, killed=killed)
    await handover.deployment.wait(limit - passed)
    assert handover.running_on()


async def test_leases_recorded_before_the_preceding_term_are_not_trusted(handover):
    """Guards against a task that runs twice: a term that did not write a record, such as
    one of an earlier version, extended a lease that the stored record calls lapsed."""
    name = await handover.start()
    runner = handover.deployment.runners[name]
    runner.reachable = False
    await handover.deployment.wait(5)
    stored = await handover.deployment.store.read(LEASES_KEY)
    runner.reachable = True
    await handover.replace_leader(1)
    await handover.deployment.wait(3)
    assert handover.running_on() == [name]
    # The record is that of the first term again, as if the second one had written none.
    runner.reachable = False
    await handover.deployment.kill(handover.process)
    handover.deployment.store.put(LEASES_KEY, stored.ok_value.content)
    await handover.replace_leader(2)
    for _ in range(100):
        await handover.deployment.wait(0.05)
        assert len(handover.running_on()) <= 1
