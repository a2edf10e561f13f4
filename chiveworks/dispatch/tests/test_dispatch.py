"""Jobs from submission to their end, with failures in between."""

from collections import Counter
from datetime import timedelta

from chiveworks.base import Resources
from chiveworks.dispatch.tests.site import start
from chiveworks.intake import IntakeVerdict
from chiveworks.workflow import JobState, QueuePolicy, StepSpec

CORE = Resources(1000, 1)


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
