"""Tests that runs that end without a crash of their worker end no job."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId
from chiveworks.dispatch.tests.crashing_workers import CORE, QUEUE, CrashingFleet
from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.dispatch.tests.lasting_runner import add_lasting_worker
from chiveworks.workflow import JobState, StepSpec

#: Number of interruptions in a row; as many crashes would end a job.
INTERRUPTION_COUNT = 4
#: A run that began before the first interruption lasts until after the last.
LASTING = StepSpec(1, CORE, long_running=True)


@pytest.fixture
async def fleet():
    created = CrashingFleet(workers=2)
    try:
        await created.start()
        await created.submit('lasting', LASTING)
        await created.deployment.wait(1)
        yield created
    finally:
        await created.deployment.close()


async def _check_runs(fleet):
    """Checks that the lasting task runs once, after which its job goes on."""
    await fleet.deployment.wait(8)
    assert fleet.running()['lasting'] == 1
    assert await fleet.deployment.state('lasting') is JobState.RUNNING
    assert not fleet.deployment.log.named('job_failed')


def _worker(fleet):
    """Returns the id of the worker on which the lasting task runs."""
    return next(
        name for name, runner in fleet.deployment.runners.items() if runner.running
    )


@pytest.mark.parametrize('leaders_change', [False, True])
@pytest.mark.parametrize('lasts_s', [2, 4, 8], ids=['short', 'unlisted', 'lapse'])
async def test_cuts_of_a_worker_count_as_no_crashes(fleet, lasts_s, leaders_change):
    """Guards against a job that fails because workers were cut off while its task ran:
    the same incarnation is back, with its runs or after their lease has lapsed."""
    for _ in range(INTERRUPTION_COUNT):
        name = _worker(fleet)
        runner = fleet.deployment.runners[name]
        runner.reachable = False
        if leaders_change:
            change = fleet.deployment.spawn(fleet.replace_leader())
            await fleet.deployment.wait(0.2)
            assert change.done()
        await fleet.deployment.wait(min(lasts_s, 3))
        if lasts_s > 3:
            fleet.deployment.store.remove(f'workers/{name}')
            await fleet.deployment.wait(lasts_s - 3)
        runner.reachable = True
        fleet.deployment.change_worker(name)
        await fleet.deployment.wait(3)
    await _check_runs(fleet)


async def _wait_for_start(fleet, start_count):
    """Waits until the lasting task has been started for the given number of times."""
    for _ in range(1500):
        if len(fleet.deployment.starts()) == start_count:
            return
        await fleet.deployment.wait(0.01)
    raise AssertionError(f'no start {start_count} within 15 s')


@pytest.mark.parametrize('leaders_change', [False, True])
@pytest.mark.parametrize('returns', [True, False], ids=['cut', 'gone'])
async def test_leases_that_lapse_right_after_a_start_count_as_no_crashes(
    fleet, returns, leaders_change
):
    """Guards against a job shown as failed whose runs have all ended `lapsed`: each of
    its workers was cut off as the task started, and no worker crashed."""
    for count in range(1, INTERRUPTION_COUNT + 1):
        await _wait_for_start(fleet, count)
        name = _worker(fleet)
        runner = fleet.deployment.runners[name]
        fleet.add_worker()
        runner.reachable = False
        if leaders_change:
            fleet.deployment.spawn(fleet.replace_leader())
        await fleet.deployment.wait(3)
        fleet.deployment.store.remove(f'workers/{name}')
        await _wait_for_start(fleet, count + 1)
        if returns:
            runner.reachable = True
            fleet.deployment.change_worker(name)
    await _check_runs(fleet)


async def test_a_run_goes_on_if_its_worker_is_only_missing_from_the_list(fleet):
    """Guards against a run that ends because the store removed the entry of its worker
    before a change of leaders, although the worker responds."""
    fleet.deployment.store.remove(f'workers/{_worker(fleet)}')
    fleet.deployment.spawn(fleet.replace_leader())
    await fleet.deployment.wait(20)
    assert len(fleet.deployment.starts()) == 1
    await _check_runs(fleet)


@pytest.mark.parametrize('keeps_id', [True, False], ids=['same-id', 'new-id'])
async def test_replacements_of_a_drained_worker_count_as_no_crashes(fleet, keeps_id):
    """Guards against a job that fails because its workers drained and were replaced,
    each of them while the task still ran there."""
    for _ in range(INTERRUPTION_COUNT):
        for runner in fleet.deployment.runners.values():
            runner.lose_stops = True
        name = _worker(fleet)
        fleet.deployment.change_worker(
            name, draining=True, remaining=timedelta(seconds=1)
        )
        await fleet.deployment.wait(2)
        fleet.deployment.runners[name].lose_runs()
        await fleet.deployment.wait(2)
        fleet.bring_back(name, keeps_id=keeps_id)
        for runner in fleet.deployment.runners.values():
            runner.lose_stops = False
        await fleet.deployment.wait(3)
    await _check_runs(fleet)


async def test_a_drained_worker_that_leaves_counts_as_no_crash(fleet):
    """Guards against a job that fails because the workers of its task left after their
    drain, before the stop of the run was confirmed."""
    for _ in range(INTERRUPTION_COUNT):
        name = _worker(fleet)
        fleet.add_worker()
        fleet.deployment.runners[name].lose_stops = True
        fleet.deployment.change_worker(
            name, draining=True, remaining=timedelta(seconds=1)
        )
        await fleet.deployment.wait(2)
        fleet.deployment.runners[name].lose_runs()
        fleet.deployment.store.remove(f'workers/{name}')
        await fleet.deployment.wait(8)
    await _check_runs(fleet)


async def test_workers_lost_before_the_term_count_as_no_crashes_one_by_one():
    """Guards against jobs that fail because a common cause ended many workers and the
    next leader, which waits for the lease of each, takes them for single crashes."""
    deployment = InMemoryDeployment(workers=0)
    try:
        for number in range(8):
            add_lasting_worker(deployment, f'w{number}')
        process = await start_leader(deployment, 'a')
        step = StepSpec(8, CORE, long_running=True, worker_limit=1)
        await deployment.submit('lasting', step, queue=QUEUE)
        for number in range(6):
            deployment.runners[f'w{number}'].leave()
            deployment.store.remove(f'workers/w{number}')
            await deployment.wait(0.4)
        await deployment.kill(process)
        await deployment.leaders['a'].resign()
        deployment.process('b')
        await deployment.wait(8)
        tasks = deployment.leaders['b'].scheduler.table.jobs[JobId('lasting')].tasks()
        assert len(deployment.log.named('run_lost')) == 6
        assert not [task.ref for task in tasks if task.crashes]
    finally:
        await deployment.close()


async def test_workers_that_are_lost_together_count_as_no_crashes():
    """Guards against jobs that fail, and starts that wait for each other, because a
    common cause ended many workers shortly after they had started tasks."""
    fleet = CrashingFleet(workers=8)
    try:
        await fleet.start()
        await fleet.submit('lasting', StepSpec(8, CORE, long_running=True))
        for _ in range(INTERRUPTION_COUNT):
            for name, runner in tuple(fleet.deployment.runners.items()):
                if not runner.replaced:
                    fleet.deployment.spawn(fleet.crash(name))
            await fleet.deployment.wait(4)
        assert fleet.crash_count == 8 * INTERRUPTION_COUNT
        assert fleet.running()['lasting'] == 8
        assert await fleet.deployment.state('lasting') is JobState.RUNNING
    finally:
        await fleet.deployment.close()
