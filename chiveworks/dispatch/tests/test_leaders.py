"""What becomes of jobs when the process that leads changes."""

import asyncio
from collections import Counter
from datetime import timedelta

from result import Err

from chiveworks.base import Failure, JobId, Resources, Step
from chiveworks.dispatch.tests.site import start
from chiveworks.intake import IntakeVerdict
from chiveworks.workflow import JobState, StepSpec

CORE = Resources(1000, 1)


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


async def _call(site, work):
    call = site.spawn(work)
    await site.wait(0.1)
    return call.result()
