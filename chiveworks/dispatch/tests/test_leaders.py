"""Tests what happens to jobs when the leader changes."""

import asyncio
from collections import Counter
from datetime import timedelta

import msgpack
from result import Err

from chiveworks.base import Failure, JobId, Resources, Step
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.intake import IntakeVerdict
from chiveworks.metastore import progress_key
from chiveworks.workflow import JobState, StepSpec, TaskState

CORE = Resources(1000, 1)


async def test_the_next_leader_runs_nothing_twice(deployment):
    """Guards against a new leader that restarts running or completed tasks."""
    first = await start_leader(deployment, 'a')
    await deployment.submit('j', StepSpec(4, CORE), StepSpec(4, CORE, after=(0,)))
    await deployment.wait(0.3)
    await deployment.kill(first)
    deployment.process('b')
    await deployment.wait(6)
    assert await deployment.state('j') is JobState.COMPLETED
    assert Counter(deployment.starts()) == Counter(deployment.done())
    assert max(Counter(deployment.starts()).values()) == 1


async def test_a_new_leader_reads_jobs_before_workers(deployment):
    """Guards against ended runs that are acknowledged before their job is known."""
    first = await start_leader(deployment, 'a')
    await deployment.submit('j', StepSpec(2, CORE), StepSpec(1, CORE, after=(0,)))
    await deployment.kill(first)
    await deployment.wait(2)
    assert len(deployment.done()) == 2
    order = []
    read_all = deployment.store.read_all

    async def record(prefix):
        order.append(prefix)
        return await read_all(prefix)

    deployment.store.read_all = record
    deployment.process('b')
    await deployment.wait(4)
    assert order.index('workers/') > order.index('chiveworks/jobs/')
    assert not deployment.log.named('run_withdrawn')
    assert max(Counter(deployment.starts()).values()) == 1
    assert await deployment.state('j') is JobState.COMPLETED


async def test_a_job_cancelled_without_a_leader_is_stopped_by_the_next(deployment):
    """Guards against adopted runs that continue although their job was cancelled."""
    first = await start_leader(deployment, 'a')
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    await deployment.submit('j', StepSpec(2, CORE, long_running=True))
    await deployment.kill(first)
    assert (
        await _call(deployment, deployment.intake.cancel(JobId('j')))
        is IntakeVerdict.ACCEPTED
    )
    deployment.process('b')
    await deployment.wait(3)
    assert not any(runner.running for runner in deployment.runners.values())
    assert await deployment.state('j') is JobState.CANCELLED


async def test_the_next_leader_resumes_the_stops_of_a_cancelled_job(
    deployment,
):
    """Guards against runs of a cancelled job that continue for good: the stop had no
    response when the leader changed, and the next leader does not send it again."""
    first = await start_leader(deployment, 'a')
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    await deployment.submit('j', StepSpec(2, CORE, long_running=True))
    assert len(deployment.starts()) == 2
    for runner in deployment.runners.values():
        runner.lose_stops = True
    assert (
        await _call(deployment, deployment.intake.cancel(JobId('j')))
        is IntakeVerdict.ACCEPTED
    )
    await deployment.wait(0.3)
    assert _stored_task_states(deployment, 'j') == {TaskState.STOPPING}
    await deployment.kill(first)
    for runner in deployment.runners.values():
        runner.lose_stops = False
    deployment.process('b')
    await deployment.wait(4)
    assert deployment.log.named('leadership_gained')[-1]['process'] == 'b'
    assert not any(runner.running for runner in deployment.runners.values())
    assert not _stored_task_states(deployment, 'j')
    assert await deployment.state('j') is JobState.CANCELLED


async def test_the_next_leader_resumes_the_stop_of_a_stalled_run(deployment):
    """Guards against a stalled run that is neither stopped nor restarted: its stop had
    no response when the leader changed, and nothing checks it as it counts as
    stopping."""
    first = await start_leader(deployment, 'a')
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=4)
    await deployment.submit('j', StepSpec(2, CORE, worker_limit=1))
    stuck = deployment.runners['w0']
    stuck.stall_runs = True
    stuck.lose_stops = True
    # The end of the other run stores the states of both tasks.
    await deployment.wait(4.5)
    states = {TaskState.STOPPING, TaskState.DONE}
    assert _stored_task_states(deployment, 'j') == states
    await deployment.kill(first)
    stuck.lose_stops = False
    deployment.process('b')
    await deployment.wait(15)
    assert deployment.log.named('leadership_gained')[-1]['process'] == 'b'
    assert not stuck.running
    assert await deployment.state('j') is JobState.COMPLETED


async def test_a_stop_under_way_when_the_leader_changes_is_logged(deployment):
    """Guards against logs in which a stop that a leader did not complete, and the run
    that goes on under the next one, cannot be seen."""
    first = await start_leader(deployment, 'a')
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
        runner.lose_stops = True
    await deployment.submit('j', StepSpec(1, CORE, long_running=True))
    await _call(deployment, deployment.intake.cancel(JobId('j')))
    await deployment.wait(0.5)
    await deployment.kill(first)
    log = deployment.log
    assert [line['outcome'] for line in log.named('stop_sent')] == ['unknown']
    log.events.clear()
    deployment.process('b')
    await deployment.wait(3)
    recovered = log.named('state_recovered')[0]
    assert (recovered['runs'], recovered['runs_stopping']) == (1, 1)
    not_sent = log.named('stop_not_sent')[0]
    assert (not_sent['job'], not_sent['attempt'], not_sent['state']) == (
        'j',
        1,
        'stopping',
    )
    assert sorted(line['runs'] for line in log.named('worker_reached')) == [0, 1]


async def test_a_restored_job_that_had_ended_counts_as_ended(deployment):
    """Guards against a metric that misses the runs of jobs that ended under an earlier
    leader."""
    first = await start_leader(deployment, 'a')
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
        runner.lose_stops = True
    await deployment.submit('j', StepSpec(1, CORE))
    table = deployment.leaders['a'].scheduler.table
    job = table.jobs[JobId('j')]
    table.fail(job, next(job.tasks()))
    await deployment.wait(0.3)
    await deployment.kill(first)
    deployment.process('b')
    await deployment.wait(3)
    fleet = deployment.leaders['b'].scheduler.fleet
    assert len(fleet.runs_of_ended_jobs()) == 1


async def test_a_process_leads_again_after_a_swallowed_cancellation(deployment):
    """Guards against a former leader that waits forever for its sessions and never
    campaigns again: an HTTP client may turn a cancellation into a timeout."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        _swallow_one_cancellation(runner)
    deployment.store.faults.refuse = True
    await deployment.wait(3)
    deployment.store.faults.refuse = False
    await asyncio.sleep(0.3)
    await deployment.wait(3)
    assert len(deployment.log.named('leadership_gained')) == 2
    await deployment.submit('j', StepSpec(1, CORE))
    await deployment.wait(2)
    assert await deployment.state('j') is JobState.COMPLETED


async def test_the_end_of_a_term_is_logged_whichever_part_notices_it(deployment):
    """Guards against a leader that stops scheduling without a line that says so."""
    await start_leader(deployment)

    async def respond_never(_lease):
        await asyncio.Event().wait()

    deployment.store.renew_lease = respond_never
    await deployment.wait(1.5)
    reasons = [line['reason'] for line in deployment.log.named('leadership_lost')]
    assert reasons == ['the lease was not renewed in time']


async def test_no_stop_is_logged_after_the_end_of_a_term(deployment):
    """Guards against lines of stops that are never sent, one for each report."""
    await start_leader(deployment)
    await deployment.submit('j', StepSpec(1, CORE, long_running=True))
    leader = deployment.leaders['a']
    scheduler = leader.scheduler
    (task,) = scheduler.table.jobs[JobId('j')].tasks()
    await leader.resign()
    scheduler.orders.stop(task, 'the job or task has ended')
    assert not deployment.log.named('run_stopping')


def _swallow_one_cancellation(runner):
    poll, swallowed = runner.poll, []

    async def poll_once(*args):
        try:
            return await poll(*args)
        except asyncio.CancelledError:
            if swallowed:
                raise
            swallowed.append(1)
            return Err(Failure.unknown(Step.RENEW, 'runner', 'timeout'))

    runner.poll = poll_once


async def test_the_next_leader_resumes_runs_that_the_last_one_paused(deployment):
    """Guards against paused runs that are never resumed."""
    process = await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    await deployment.submit('j', StepSpec(1, CORE, fills=True))
    await deployment.kill(process)
    deployment.process('b')
    await deployment.wait(4)
    paces = [
        pace for runner in deployment.runners.values() for pace in runner.paces.values()
    ]
    assert paces == [100]


async def test_a_job_keeps_its_age_under_the_next_leader(deployment):
    """Guards against a new leader that treats a late job as a new one."""
    process = await start_leader(deployment)
    await deployment.submit('j', StepSpec(1, CORE), StepSpec(1, CORE, after=(0,)))
    await deployment.kill(process)
    await deployment.wait(5)
    deployment.process('b')
    await deployment.wait(6)
    fields = deployment.log.named('job_completed')[-1]
    assert fields['late'] and fields['duration_ms'] > 5000


async def test_counts_of_a_former_leader_are_not_reported(deployment):
    """Guards against an outdated count of pending jobs while jobs are accepted."""
    process = await start_leader(deployment)
    deployment.evacuated.add('zone')
    await deployment.submit('j')
    await deployment.wait(2)
    assert await _call(deployment, deployment.intake.pending('urgent')) == 1
    await deployment.kill(process)
    await deployment.wait(4)
    assert await _call(deployment, deployment.intake.pending('urgent')) is None


async def _call(deployment, work):
    call = deployment.spawn(work)
    await deployment.wait(0.1)
    return call.result()


def _stored_task_states(deployment, name):
    """Returns the states of the tasks in the stored progress of a job, if any."""
    item = deployment.store.items.get(progress_key(JobId(name)))
    rows = msgpack.unpackb(item.content)['tasks'] if item else ()
    return {TaskState(row[3]) for row in rows}
