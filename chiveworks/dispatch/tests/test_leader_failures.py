"""Tests what a leader does after an error in its own work."""

import inspect
from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.workflow import JobState, StepSpec

CORE = Resources(1000, 1)


async def test_an_error_with_one_job_neither_ends_the_watch_nor_the_term(deployment):
    """Guards against a leader that learns of no new jobs and cancellations, without a
    line that says so, since the watch of the jobs has ended by an error. Also guards
    against a job that ends each term, or is forgotten, after such an error."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    await deployment.submit('j', StepSpec(1, CORE, long_running=True))
    _fail_once(deployment.leaders['a'].scheduler.table, 'add')
    await deployment.submit('unlucky')
    cancellation = deployment.spawn(deployment.intake.cancel(JobId('j')))
    await deployment.wait(3)
    assert cancellation.done()
    log = deployment.log
    assert 'add failed' in log.named('entry_failed')[0]['error']
    assert not log.named('leadership_lost')
    assert len(log.named('leadership_gained')) == 1
    assert await deployment.state('j') is JobState.CANCELLED
    assert not any(ref.job_id == 'j' for ref in _running(deployment))
    assert any(ref.job_id == 'unlucky' for ref in _running(deployment))


@pytest.mark.parametrize(
    ('owner', 'method'),
    [
        ('store', 'renew_lease'),
        ('election', 'watch_term'),
        ('scheduler', '_publish_pending'),
    ],
)
async def test_a_background_task_that_fails_ends_the_term(deployment, owner, method):
    """Guards against a leader that goes on, or waits for good, after an error in a
    background task."""
    process = deployment.process('a')
    leader = deployment.leaders['a']
    if owner == 'scheduler':
        await deployment.wait(0.5)
    owners = {
        'store': deployment.store,
        'election': leader._election,
        'scheduler': leader.scheduler,
    }
    _fail_once(owners[owner], method)
    await deployment.wait(4)
    assert not process.done()
    assert f'{method} failed' in deployment.log.named('child_failed')[0]['error']
    assert len(deployment.log.named('leadership_gained')) == 2
    await deployment.submit('j')
    await deployment.wait(2)
    assert await deployment.state('j') is JobState.COMPLETED


async def test_a_background_task_that_always_fails_causes_no_busy_loop(deployment):
    """Guards against hundreds of terms a second, each with a recovery, after an error
    that every term has."""
    _fail_always(deployment.store, 'renew_lease')
    deployment.process('a')
    await deployment.wait(10)
    terms = len(deployment.log.named('leadership_gained'))
    assert 5 <= terms <= 10
    assert len(deployment.log.named('child_failed')) == terms


async def test_a_term_whose_background_task_failed_is_given_up(deployment):
    """Guards against a process that leads again at once after an error that only it
    has, while another process could lead."""
    await start_leader(deployment, 'a')
    _fail_once(deployment.leaders['a'].scheduler, '_publish_pending')
    deployment.process('b')
    await deployment.wait(1.5)
    assert deployment.log.named('child_failed')
    assert deployment.log.named('leadership_gained')[-1]['process'] == 'b'


async def test_a_leader_that_fails_to_recover_contends_again_after_a_pause(deployment):
    """Guards against a process that never contends again, or does so without a pause,
    and against an error that is logged once although it ends every term."""
    first = await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    await deployment.submit('j')
    await deployment.kill(first)
    log = deployment.log
    log.events.clear()
    process = deployment.process('b')
    leader = deployment.leaders['b']
    read_progress = leader._read_progress
    _fail_always(leader, '_read_progress')
    await deployment.wait(10)
    failures = log.named('term_failed')
    assert 5 <= len(failures) <= 10
    assert len(log.named('leadership_gained')) == len(failures)
    assert len(log.named('leadership_lost')) == len(failures)
    assert all('_read_progress failed' in line['error'] for line in failures)
    assert not process.done()
    leader._read_progress = read_progress
    await deployment.wait(3)
    assert log.named('state_recovered')[-1]['runs'] == 1
    assert leader.scheduler is not None


async def test_a_term_that_fails_is_given_up_for_another_process(deployment):
    """Guards against a process that keeps the lease, or goes on polling workers, after
    an error that only it has."""
    deployment.process('a')
    _fail_always(deployment.leaders['a'], '_read_progress')
    await deployment.wait(0.2)
    deployment.process('b')
    await deployment.wait(1)
    assert deployment.leaders['a'].scheduler is None
    assert deployment.leaders['b'].scheduler is not None
    assert len(deployment.log.named('term_failed')) == 1


async def test_a_failed_recovery_leaves_no_background_task(deployment):
    """Guards against sessions of a former leader that go on polling workers."""
    deployment.process('a')
    leader = deployment.leaders['a']
    schedulers = []
    create = leader._create_scheduler

    def create_failing(term):
        schedulers.append(create(term))
        # Called at the end of a recovery. An error with one entry does not end it.
        _fail_once(schedulers[-1].fleet, 'record_unreached')
        return schedulers[-1]

    leader._create_scheduler = create_failing
    await deployment.wait(0.5)
    assert deployment.log.named('term_failed')
    assert schedulers[0].fleet.sessions
    assert not schedulers[0]._children


async def test_a_failed_campaign_is_repeated(deployment):
    """Guards against a process that never contends again after an error while it
    contended."""
    _fail_once(deployment.store, 'grant_lease')
    await start_leader(deployment)
    assert deployment.log.named('term_failed')
    await deployment.wait(1)
    assert deployment.leaders['a'].scheduler is not None


def _running(deployment):
    return [ref for runner in deployment.runners.values() for ref in runner.running]


def _fail_once(owner, method):
    original = getattr(owner, method)

    def fail(*_args, **_kwargs):
        setattr(owner, method, original)
        raise RuntimeError(f'{method} failed')

    async def fail_async(*args, **kwargs):
        fail(*args, **kwargs)

    failing = fail_async if inspect.iscoroutinefunction(original) else fail
    setattr(owner, method, failing)


def _fail_always(owner, method):
    async def fail(*_args):
        raise RuntimeError(f'{method} failed')

    setattr(owner, method, fail)
