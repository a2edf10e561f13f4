"""Jobs from submission to their end, with failures in between."""

import asyncio
from collections import Counter
from datetime import timedelta

import pytest
from result import Err

from chiveworks.base import Failure, JobId, Resources, Step
from chiveworks.dispatch.tests.site import Site
from chiveworks.intake import IntakeVerdict
from chiveworks.workflow import JobState, QueuePolicy, StepSpec

CORE = Resources(1000, 1)


@pytest.fixture
async def site():
    created = Site()
    yield created
    await created.close()


async def start(site, name='a'):
    process = site.process(name)
    await site.wait(0.5)
    return process


async def test_a_job_of_two_steps_is_completed(site):
    """Guards against steps that start before the ones they depend on are done."""
    await start(site)
    assert (
        await site.submit('j', StepSpec(3, CORE), StepSpec(2, CORE, after=(0,)))
        is IntakeVerdict.ACCEPTED
    )
    assert await site.state('j') is JobState.RUNNING
    assert {ref.step for ref in site.starts()} == {0}
    await site.wait(3)
    assert await site.state('j') is JobState.COMPLETED
    assert Counter(ref.step for ref in site.done()) == {0: 3, 1: 2}


async def test_the_next_leader_goes_on_without_running_anything_twice(site):
    """Guards against a new leader that starts what runs or is done already."""
    first = await start(site, 'a')
    await site.submit('j', StepSpec(4, CORE), StepSpec(4, CORE, after=(0,)))
    await site.wait(0.3)
    await site.kill(first)
    site.process('b')
    await site.wait(6)
    assert await site.state('j') is JobState.COMPLETED
    assert Counter(site.starts()) == Counter(site.done())
    assert max(Counter(site.starts()).values()) == 1


async def test_a_leader_with_a_slow_start_knows_jobs_before_workers(site):
    """Guards against ends that are acknowledged before their job is known."""
    first = await start(site, 'a')
    await site.submit('j', StepSpec(2, CORE), StepSpec(1, CORE, after=(0,)))
    await site.kill(first)
    await site.wait(2)
    assert len(site.done()) == 2
    order = []
    read_all = site.store.read_all

    async def record(prefix):
        order.append(prefix)
        return await read_all(prefix)

    site.store.read_all = record
    site.process('b')
    await site.wait(4)
    assert order.index('workers/') > order.index('chiveworks/jobs/')
    assert not site.log.named('run_withdrawn')
    assert max(Counter(site.starts()).values()) == 1
    assert await site.state('j') is JobState.COMPLETED


async def test_a_job_cancelled_without_a_leader_is_stopped_by_the_next(site):
    """Guards against adopted runs that go on though their job was cancelled."""
    first = await start(site, 'a')
    for runner in site.runners.values():
        runner._duration = timedelta(seconds=60)
    await site.submit('j', StepSpec(2, CORE, long_running=True))
    await site.kill(first)
    assert await _call(site, site.intake.cancel(JobId('j'))) is IntakeVerdict.ACCEPTED
    site.process('b')
    await site.wait(3)
    assert not any(runner.running for runner in site.runners.values())
    assert await site.state('j') is JobState.CANCELLED


async def test_runs_of_a_silent_worker_start_again_after_its_lease(site):
    """Guards against a lease that is believed to be extended by unanswered looks,
    and against a second run before the first has certainly ended."""
    await start(site)
    for runner in site.runners.values():
        runner._duration = timedelta(seconds=30)
    await site.submit('j', StepSpec(1, CORE))
    name = next(n for n, runner in site.runners.items() if runner.running)
    site.runners[name].reachable = False
    await site.wait(5)
    assert len(site.starts()) == 1
    await site.wait(4)
    assert len(site.starts()) == 2
    assert not site.runners[name].running


async def test_an_unanswered_start_is_not_given_to_another_worker(site):
    """Guards against two runs after a start that was carried out unanswered."""
    await start(site)
    for runner in site.runners.values():
        runner.lose_orders = 1
    await site.submit('j', StepSpec(2, CORE))
    await site.wait(3)
    assert await site.state('j') is JobState.COMPLETED
    assert max(Counter(site.starts()).values()) == 1


async def test_nothing_starts_while_the_store_is_away(site):
    """Guards against starts that a later leader could not know of."""
    await start(site)
    await site.submit('j', StepSpec(1, CORE), StepSpec(1, CORE, after=(0,)))
    await site.wait(0.5)
    site.store.faults.refuse = True
    await site.wait(4)
    assert {ref.step for ref in site.starts()} == {0}
    site.store.faults.refuse = False
    await site.wait(4)
    assert await site.state('j') is JobState.COMPLETED


async def test_a_draining_worker_gets_no_work_and_is_emptied(site):
    """Guards against starts on a worker that leaves, and work lost with it."""
    await start(site)
    for runner in site.runners.values():
        runner._duration = timedelta(seconds=30)
    await site.submit('j', StepSpec(1, CORE, long_running=True))
    name = next(n for n, runner in site.runners.items() if runner.running)
    site.change_worker(name, draining=True, remaining=timedelta(seconds=2))
    await site.wait(3)
    assert not site.runners[name].running
    assert len(site.starts()) == 2


async def test_a_late_answer_to_a_stop_says_nothing_of_the_next_run(site):
    """Guards against a run that is believed to be gone because it is not listed yet,
    when the answer to the stop of the run before it comes after its claim."""
    site.add_worker('w2')
    await start(site)
    for runner in site.runners.values():
        runner._duration = timedelta(seconds=30)
        runner.stop_answer_delay = timedelta(milliseconds=200)
    await site.submit('j', StepSpec(1, CORE))
    name = next(n for n, runner in site.runners.items() if runner.running)
    for runner in site.runners.values():
        runner.start_delay = timedelta(seconds=3)
    site.change_worker(name, draining=True, remaining=timedelta(seconds=0.5))
    await site.wait(8)
    assert len(site.starts()) == 2


async def test_a_process_leads_again_after_a_call_took_its_cancellation(site):
    """Guards against a former leader that waits without end for its sessions and
    never contends again: an HTTP client may take a cancellation for a timeout."""
    await start(site)
    for runner in site.runners.values():
        _swallow_one_cancellation(runner)
    site.store.faults.refuse = True
    await site.wait(3)
    site.store.faults.refuse = False
    await asyncio.sleep(0.3)
    await site.wait(3)
    assert len(site.log.named('leadership_gained')) == 2
    await site.submit('j', StepSpec(1, CORE))
    await site.wait(2)
    assert await site.state('j') is JobState.COMPLETED


def _swallow_one_cancellation(runner):
    hold, swallowed = runner.hold, []

    async def hold_once(*args):
        try:
            return await hold(*args)
        except asyncio.CancelledError:
            if swallowed:
                raise
            swallowed.append(1)
            return Err(Failure.unknown(Step.RENEW, 'runner', 'timeout'))

    runner.hold = hold_once


async def test_nothing_starts_in_an_evacuated_zone(site):
    """Guards against starts in a zone that operators have taken out."""
    await start(site)
    site.evacuated.add('zone')
    await site.submit('j')
    await site.wait(2)
    assert not site.starts()
    assert await site.state('j') is JobState.QUEUED


async def test_a_task_that_fails_too_often_fails_its_job(site):
    """Guards against starts beyond the attempts that a queue allows."""
    await start(site)
    for runner in site.runners.values():
        runner.fails = True
    await site.submit('j')
    await site.wait(30)
    assert await site.state('j') is JobState.FAILED
    assert len(site.starts()) == 3


async def test_a_gang_waits_until_all_members_fit(site):
    """Guards against members that wait on workers for others without room."""
    await start(site)
    await site.submit('small', StepSpec(6, CORE))
    await site.submit('gang', StepSpec(4, CORE, gang=True))
    assert {ref.job_id for ref in site.starts()} == {'small'}
    await site.wait(3)
    assert await site.state('gang') is JobState.COMPLETED


async def test_a_worker_limit_spreads_a_step(site):
    """Guards against more tasks of a step on a worker than its limit."""
    await start(site)
    await site.submit('j', StepSpec(2, CORE, worker_limit=1))
    await site.wait(0.3)
    assert all(len(runner.running) == 1 for runner in site.runners.values())


async def test_an_external_policy_decides_where_a_step_runs(site):
    """Guards against starts without a ticket, and against one call for each task."""
    await start(site)
    queue = QueuePolicy('advised', 'pool', attempt_limit=3, advised=True)
    await site.submit('j', StepSpec(6, CORE), queue=queue)
    await site.wait(4)
    assert await site.state('j') is JobState.COMPLETED
    assert not site.runners['w0'].history
    assert site.advisor.calls < 4


async def test_a_run_that_stands_still_starts_elsewhere(site):
    """Guards against work that waits for a worker which answers and does nothing."""
    await start(site)
    for runner in site.runners.values():
        runner.stalls = True
    await site.submit('j')
    stuck = next(n for n, runner in site.runners.items() if runner.running)
    for name, runner in site.runners.items():
        runner.stalls = name == stuck
    await site.wait(6)
    assert await site.state('j') is JobState.COMPLETED
    assert len(site.starts()) == 2


async def test_the_next_leader_resumes_runs_that_the_last_one_paused(site):
    """Guards against paused runs that nobody remembers to resume."""
    process = await start(site)
    for runner in site.runners.values():
        runner._duration = timedelta(seconds=60)
    await site.submit('j', StepSpec(1, CORE, fills=True))
    await site.kill(process)
    site.process('b')
    await site.wait(4)
    paces = [pace for runner in site.runners.values() for pace in runner.paces.values()]
    assert paces == [100]


async def test_a_job_keeps_its_age_under_the_next_leader(site):
    """Guards against a late job that a new leader takes for a new one."""
    process = await start(site)
    await site.submit('j', StepSpec(1, CORE), StepSpec(1, CORE, after=(0,)))
    await site.kill(process)
    await site.wait(5)
    site.process('b')
    await site.wait(6)
    facts = site.log.named('job_completed')[-1]
    assert facts['late'] and facts['duration_ms'] > 5000


async def test_counts_of_a_leader_that_is_gone_are_not_given_out(site):
    """Guards against a count that stands still while jobs are accepted."""
    process = await start(site)
    site.evacuated.add('zone')
    await site.submit('j')
    await site.wait(2)
    assert await _call(site, site.intake.pending('urgent')) == 1
    await site.kill(process)
    await site.wait(4)
    assert await _call(site, site.intake.pending('urgent')) is None


async def test_members_of_a_gang_share_their_run_number(site):
    """Guards against members that wait for others of another run."""
    await start(site)
    for runner in site.runners.values():
        runner.fails = True
    await site.submit('j', StepSpec(4, CORE, gang=True))
    await site.wait(0.5)
    attempts = {
        entry[2]
        for runner in site.runners.values()
        for entry in runner.history
        if entry[0] == 'start'
    }
    assert attempts == {1}


async def _call(site, work):
    call = site.spawn(work)
    await site.wait(0.1)
    return call.result()
