"""Tests that no start exceeds the limit of an account, and that none waits below it."""

from datetime import timedelta

import pytest

from chiveworks.accounts import AccountDirectory
from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.account_deployment import CORE, AccountDeployment
from chiveworks.dispatch.tests.deployment import QUEUE, start_leader
from chiveworks.workflow import JobState, StepSpec, _task_rows

GANG = StepSpec(3, CORE, gang=True)


@pytest.fixture
async def deployment():
    created = AccountDeployment(workers=3)
    yield created
    await created.close()


def steps(count, cores=1, **fields):
    return StepSpec(count, Resources(1000 * cores, 1), **fields)


async def test_an_account_runs_exactly_up_to_its_limit(deployment):
    """Guards against starts above the limit, and against room below it that idles."""
    deployment.limit(5000)
    await start_leader(deployment)
    for number in range(3):
        await deployment.submit(f'j{number}', steps(4))
    await deployment.wait(2)
    assert deployment.running() == 5000
    assert deployment.highest['a'] == 5000


async def test_filling_tasks_count_like_others(deployment):
    """Guards against filling tasks that exceed the limit of their account."""
    deployment.limit(2000)
    await start_leader(deployment)
    await deployment.submit('j', steps(6, fills=True, image='f'))
    await deployment.wait(4)
    assert deployment.running() == 2000


async def test_an_account_at_its_limit_does_not_hold_others_back(deployment):
    """Guards against steps of other accounts, and of none, that wait behind a step that
    the limit blocks."""
    deployment.limit(1000)
    deployment.limit(0, name='b')
    await start_leader(deployment)
    await deployment.submit('small', steps(9))
    await deployment.submit('other', steps(4, 2), account='b')
    await deployment.submit('none', steps(2), account='')
    await deployment.wait(0.5)
    assert deployment.running('a') == 1000
    assert deployment.running('b') == 8000
    assert deployment.running('') == 2000


async def test_a_raised_limit_takes_effect_and_a_lowered_one_stops_nothing(deployment):
    """Guards against limits of earlier versions of the configuration that stay in
    force, and against running work that a new limit ends."""
    deployment.limit(2000)
    await start_leader(deployment)
    await deployment.submit('j', steps(12))
    await deployment.wait(0.2)
    assert deployment.running() == 2000
    deployment.limit(6000)
    await deployment.wait(0.3)
    assert deployment.running() == 6000
    for limit in (8000, 1000, 7000, 3000):
        deployment.limit(limit)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=1)
    await deployment.wait(20)
    assert deployment.running() == 6000
    deployment.highest.clear()
    await deployment.wait(13)
    assert len(set(deployment.starts())) > 6
    assert await deployment.state('j') is JobState.COMPLETED


async def test_the_limit_holds_after_it_was_lowered(deployment):
    """Guards against starts above a lowered limit while earlier runs go on."""
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=3)
    deployment.limit(6000)
    await start_leader(deployment)
    await deployment.submit('j', steps(12))
    await deployment.wait(0.2)
    deployment.limit(2000)
    await deployment.wait(3.5)
    deployment.highest.clear()
    await deployment.wait(4)
    assert deployment.highest['a'] == 2000


async def test_jobs_of_an_account_that_vanishes_go_on_under_its_last_limit(deployment):
    """Guards against a removed account without a limit, and against accepted jobs that
    never end."""
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=1)
    deployment.limit(2000)
    await start_leader(deployment)
    await deployment.submit('j', steps(6))
    deployment.accounts = AccountDirectory()
    await deployment.wait(5)
    assert deployment.highest['a'] == 2000
    assert await deployment.state('j') is JobState.COMPLETED


async def test_a_task_larger_than_the_limit_runs_by_itself(deployment):
    """Guards against a job that can never run, and against two such tasks at once."""
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=1)
    deployment.limit(1000)
    await start_leader(deployment)
    await deployment.submit('large', steps(2, 3))
    await deployment.submit('small', steps(3))
    await deployment.wait(8)
    assert deployment.highest['a'] == 3000
    assert await deployment.state('large') is JobState.COMPLETED
    assert await deployment.state('small') is JobState.COMPLETED


async def test_a_gang_starts_whole_or_waits(deployment):
    """Guards against a gang above the limit and against a part of one."""
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=2)
    deployment.limit(3000)
    await start_leader(deployment)
    await deployment.submit('single', steps(1))
    await deployment.submit('gang', GANG)
    await deployment.wait(1)
    assert deployment.running() == 1000
    await deployment.wait(1.5)
    assert deployment.running() == 3000
    await deployment.wait(2.5)
    assert await deployment.state('gang') is JobState.COMPLETED


async def test_members_of_a_done_gang_count_until_their_ends_are_known(deployment):
    """Guards against starts beside members that still run after the first one is done,
    also by a leader that takes over meanwhile, and against a job that never closes."""
    deployment.limit(3000)
    first = await start_leader(deployment)
    await deployment.submit('gang', GANG)
    await deployment.wait(0.5)
    names = [name for name, runner in deployment.runners.items() if runner.running]
    ends, *others = (deployment.runners[name] for name in names)
    for runner in others:
        runner.reachable = False
    done = len(ends.running)
    for run in ends._runs.values():
        run.ends_at = deployment.clock.monotonic()
    await deployment.submit('next', steps(3))
    await deployment.wait(0.5)
    assert deployment.running() == 3000
    assert deployment.counted() == 3000
    assert len(deployment.starts()) == 3 + done
    await deployment.kill(first)
    deployment.process('b')
    await deployment.wait(2)
    assert deployment.counted() == 3000
    await deployment.wait(9)
    assert deployment.highest['a'] == 3000
    assert await deployment.state('gang') is JobState.COMPLETED
    assert deployment.running() == 3000


@pytest.mark.parametrize('reachable', [True, False])
async def test_a_new_leader_counts_the_runs_that_it_takes_over(deployment, reachable):
    """Guards against starts above the limit by a leader that has not reached all of the
    workers, and against runs that count for ever."""
    deployment.limit(4000)
    first = await start_leader(deployment)
    await deployment.submit('j', steps(20))
    assert deployment.running() == 4000
    name = next(n for n, runner in deployment.runners.items() if runner.running)
    lost = len(deployment.runners[name].running)
    deployment.runners[name].reachable = reachable
    await deployment.kill(first)
    deployment.process('b')
    await deployment.wait(4)
    assert deployment.running() == 4000
    assert deployment.counted() == 4000
    await deployment.wait(8)
    assert deployment.running() == 4000
    assert len(deployment.starts()) == 4 + (0 if reachable else lost)
    assert deployment.highest['a'] == 4000


@pytest.mark.parametrize('address_known', [True, False])
async def test_runs_on_a_worker_that_is_no_longer_listed_count(
    deployment, address_known, monkeypatch
):
    """Guards against runs that no view of a worker holds and that nobody counts."""
    if not address_known:
        monkeypatch.setattr(_task_rows, '_unpack_address', lambda _row: '')
    deployment.limit(2000)
    first = await start_leader(deployment)
    await deployment.submit('j', steps(20))
    name = next(n for n, runner in deployment.runners.items() if runner.running)
    await deployment.kill(first)
    deployment.runners[name].reachable = False
    deployment.store.remove(f'workers/{name}')
    deployment.infos.pop(name)
    deployment.process('b')
    await deployment.wait(4)
    assert deployment.counted() == 2000
    await deployment.wait(8)
    assert deployment.running() == 2000
    assert deployment.highest['a'] == 2000


async def test_a_start_without_a_response_counts(deployment):
    """Guards against a run that was started although its start was not answered, next
    to which another one exceeds the limit; also after a change of leader."""
    deployment.limit(1000)
    first = await start_leader(deployment)
    for runner in deployment.runners.values():
        runner.drop_start_answers = 9
        runner.lose_stops = True
    await deployment.submit('j', steps(5))
    await deployment.wait(0.4)
    assert deployment.counted() == 1000
    await deployment.kill(first)
    deployment.process('b')
    await deployment.wait(6)
    assert deployment.highest['a'] == 1000


async def test_a_late_start_counts(deployment):
    """Guards against a start that a worker carries out after others were started."""
    deployment.limit(1000)
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner.start_delay = timedelta(seconds=1.5)
    await deployment.submit('j', steps(5))
    await deployment.wait(5)
    assert deployment.running() == 1000
    assert deployment.highest['a'] == 1000


async def test_a_run_that_is_being_stopped_counts(deployment):
    """Guards against starts in the place of a run that has not ended yet."""
    deployment.limit(2000)
    await start_leader(deployment)
    await deployment.submit('j', steps(2))
    for runner in deployment.runners.values():
        runner.stop_duration = timedelta(seconds=2)
    deployment.spawn(deployment.intake.cancel(JobId('j')))
    await deployment.submit('next', steps(5))
    await deployment.wait(1)
    assert len(deployment.starts()) == 2
    await deployment.wait(3)
    assert deployment.running() == 2000
    assert deployment.highest['a'] == 2000


async def test_a_moved_task_counts_once_and_keeps_its_place(deployment):
    """Guards against a move that an account at its limit cannot make, and against a
    task that other tasks of its account keep from starting on the target."""
    deployment.limit(2000)
    await start_leader(deployment)
    await deployment.submit('lasting', steps(1, long_running=True))
    await deployment.submit('others', steps(9, 1))
    await deployment.wait(0.5)
    name = next(
        name
        for name, runner in deployment.runners.items()
        if any(ref.job_id == 'lasting' for ref in runner.running)
    )
    deployment.runners[name].stop_duration = timedelta(seconds=0.5)
    deployment.change_worker(name, draining=True, remaining=timedelta(seconds=4))
    await deployment.wait(3)
    assert any(
        ref.job_id == 'lasting'
        for other, runner in deployment.runners.items()
        for ref in runner.running
        if other != name
    )
    assert deployment.highest['a'] == 2000


async def test_a_lasting_task_over_a_lowered_limit_is_not_moved(deployment):
    """Guards against a move that ends a run which the limit then keeps from starting."""
    deployment.limit(2000)
    await start_leader(deployment)
    await deployment.submit('lasting', steps(2, long_running=True))
    deployment.limit(1000)
    await deployment.wait(0.2)
    name = next(n for n, runner in deployment.runners.items() if runner.running)
    deployment.change_worker(name, draining=True, remaining=timedelta(seconds=4))
    await deployment.wait(0.8)
    assert deployment.running() == 2000
    assert not deployment.log.named('lasting_task_moved')


@pytest.mark.parametrize(('limit', 'reserved'), [(4000, False), (5000, True)])
async def test_no_worker_is_reserved_for_a_task_that_the_limit_blocks(
    deployment, limit, reserved
):
    """Guards against room that stays free for a task which may not start there, and
    against a guard that never reserves for accounts with limits."""
    deployment.limit(5000)
    deployment.limit(0, name='b')
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=2)
    await deployment.submit('lasting', steps(1, 4, long_running=True))
    name = next(n for n, runner in deployment.runners.items() if runner.running)
    deployment.runners[name]._duration = timedelta(seconds=30)
    await deployment.submit('small', steps(1))
    for other, runner in deployment.runners.items():
        for run in runner._runs.values():
            run.ends_at += timedelta(seconds=30) * (other != name)
    await deployment.submit('fill', steps(40), account='b')
    deployment.limit(limit)
    deployment.change_worker(name, draining=True, remaining=timedelta())
    await deployment.wait(1.2)
    lines = deployment.log.named('worker_reserved')
    assert bool([line for line in lines if line['job'] == 'lasting']) is reserved


async def test_log_lines_name_the_account_and_its_limit(deployment):
    """Guards against operators who cannot see why a task waits."""
    deployment.limit(1000)
    await start_leader(deployment)
    await deployment.submit('j', steps(4, long_running=True))
    await deployment.submit('none', steps(1), account='')
    await deployment.wait(3)
    taken = {line['job']: line for line in deployment.log.named('job_taken')}
    assert taken['j']['account'] == 'a'
    assert 'account' not in taken['none']
    claims = {line['job']: line for line in deployment.log.named('task_claimed')}
    assert claims['j']['account'] == 'a'
    (line,) = deployment.log.named('account_at_limit')
    assert line['account'] == 'a'
    assert line['used_cpu_millicores'] == line['limit_cpu_millicores'] == 1000
    waits = deployment.log.named('task_passed_over')
    assert {wait['reason'] for wait in waits} == {'the account has reached its limit'}
    assert {wait['account'] for wait in waits} == {'a'}


async def test_a_blocked_step_costs_no_search_for_a_worker(deployment):
    """Guards against rounds that accounts at their limits slow down."""
    deployment.limit(1000)
    await start_leader(deployment)
    await deployment.submit('j', steps(5))
    assigner = deployment.scheduler()._assigner
    searched = []
    assigner.candidates = searched.append
    for number in range(3):
        await deployment.submit(f'more{number}', steps(5), queue=QUEUE)
    await deployment.wait(0.5)
    assert len(deployment.scheduler().table.ready) == 4
    assert not searched
