"""Jobs from submission to their end, with failures in between."""

from collections import Counter
from datetime import timedelta

from chiveworks.base import Resources
from chiveworks.dispatch.tests.deployment import start
from chiveworks.intake import IntakeVerdict
from chiveworks.workflow import JobState, QueuePolicy, StepSpec

CORE = Resources(1000, 1)


async def test_a_job_of_two_steps_is_completed(deployment):
    """Guards against steps that start before the ones they depend on are done."""
    await start(deployment)
    assert (
        await deployment.submit('j', StepSpec(3, CORE), StepSpec(2, CORE, after=(0,)))
        is IntakeVerdict.ACCEPTED
    )
    assert await deployment.state('j') is JobState.RUNNING
    assert {ref.step for ref in deployment.starts()} == {0}
    await deployment.wait(3)
    assert await deployment.state('j') is JobState.COMPLETED
    assert Counter(ref.step for ref in deployment.done()) == {0: 3, 1: 2}


async def test_runs_of_a_silent_worker_start_again_after_its_lease(deployment):
    """Guards against a lease that is believed to be extended by unanswered looks,
    and against a second run before the first has certainly ended."""
    await start(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=30)
    await deployment.submit('j', StepSpec(1, CORE))
    name = next(n for n, runner in deployment.runners.items() if runner.running)
    deployment.runners[name].reachable = False
    await deployment.wait(5)
    assert len(deployment.starts()) == 1
    await deployment.wait(4)
    assert len(deployment.starts()) == 2
    assert not deployment.runners[name].running


async def test_an_unanswered_start_is_not_given_to_another_worker(deployment):
    """Guards against two runs after a start that was carried out unanswered."""
    await start(deployment)
    for runner in deployment.runners.values():
        runner.lose_orders = 1
    await deployment.submit('j', StepSpec(2, CORE))
    await deployment.wait(3)
    assert await deployment.state('j') is JobState.COMPLETED
    assert max(Counter(deployment.starts()).values()) == 1


async def test_nothing_starts_while_the_store_is_away(deployment):
    """Guards against starts that a later leader could not know of."""
    await start(deployment)
    await deployment.submit('j', StepSpec(1, CORE), StepSpec(1, CORE, after=(0,)))
    await deployment.wait(0.5)
    deployment.store.faults.refuse = True
    await deployment.wait(4)
    assert {ref.step for ref in deployment.starts()} == {0}
    deployment.store.faults.refuse = False
    await deployment.wait(4)
    assert await deployment.state('j') is JobState.COMPLETED


async def test_a_draining_worker_gets_no_work_and_is_emptied(deployment):
    """Guards against starts on a worker that leaves, and work lost with it."""
    await start(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=30)
    await deployment.submit('j', StepSpec(1, CORE, long_running=True))
    name = next(n for n, runner in deployment.runners.items() if runner.running)
    deployment.change_worker(name, draining=True, remaining=timedelta(seconds=2))
    await deployment.wait(3)
    assert not deployment.runners[name].running
    assert len(deployment.starts()) == 2


async def test_a_late_answer_to_a_stop_says_nothing_of_the_next_run(deployment):
    """Guards against a run that is believed to be gone because it is not listed yet,
    when the answer to the stop of the run before it comes after its claim."""
    deployment.add_worker('w2')
    await start(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=30)
        runner.stop_answer_delay = timedelta(milliseconds=200)
    await deployment.submit('j', StepSpec(1, CORE))
    name = next(n for n, runner in deployment.runners.items() if runner.running)
    for runner in deployment.runners.values():
        runner.start_delay = timedelta(seconds=3)
    deployment.change_worker(name, draining=True, remaining=timedelta(seconds=0.5))
    await deployment.wait(8)
    assert len(deployment.starts()) == 2


async def test_nothing_starts_in_an_evacuated_zone(deployment):
    """Guards against starts in a zone that operators have taken out."""
    await start(deployment)
    deployment.evacuated.add('zone')
    await deployment.submit('j')
    await deployment.wait(2)
    assert not deployment.starts()
    assert await deployment.state('j') is JobState.QUEUED


async def test_a_task_that_fails_too_often_fails_its_job(deployment):
    """Guards against starts beyond the attempts that a queue allows."""
    await start(deployment)
    for runner in deployment.runners.values():
        runner.fails = True
    await deployment.submit('j')
    await deployment.wait(30)
    assert await deployment.state('j') is JobState.FAILED
    assert len(deployment.starts()) == 3


async def test_a_gang_waits_until_all_members_fit(deployment):
    """Guards against members that wait on workers for others without room."""
    await start(deployment)
    await deployment.submit('small', StepSpec(6, CORE))
    await deployment.submit('gang', StepSpec(4, CORE, gang=True))
    assert {ref.job_id for ref in deployment.starts()} == {'small'}
    await deployment.wait(3)
    assert await deployment.state('gang') is JobState.COMPLETED


async def test_a_worker_limit_spreads_a_step(deployment):
    """Guards against more tasks of a step on a worker than its limit."""
    await start(deployment)
    await deployment.submit('j', StepSpec(2, CORE, worker_limit=1))
    await deployment.wait(0.3)
    assert all(len(runner.running) == 1 for runner in deployment.runners.values())


async def test_an_external_policy_decides_where_a_step_runs(deployment):
    """Guards against starts without a ticket, and against one call for each task."""
    await start(deployment)
    queue = QueuePolicy('advised', 'pool', attempt_limit=3, advised=True)
    await deployment.submit('j', StepSpec(6, CORE), queue=queue)
    await deployment.wait(4)
    assert await deployment.state('j') is JobState.COMPLETED
    assert not deployment.runners['w0'].history
    assert deployment.advisor.calls < 4


async def test_a_run_that_stands_still_starts_elsewhere(deployment):
    """Guards against work that waits for a worker which answers and does nothing."""
    await start(deployment)
    for runner in deployment.runners.values():
        runner.stalls = True
    await deployment.submit('j')
    stuck = next(n for n, runner in deployment.runners.items() if runner.running)
    for name, runner in deployment.runners.items():
        runner.stalls = name == stuck
    await deployment.wait(6)
    assert await deployment.state('j') is JobState.COMPLETED
    assert len(deployment.starts()) == 2


async def test_members_of_a_gang_share_their_run_number(deployment):
    """Guards against members that wait for others of another run."""
    await start(deployment)
    for runner in deployment.runners.values():
        runner.fails = True
    await deployment.submit('j', StepSpec(4, CORE, gang=True))
    await deployment.wait(0.5)
    attempts = {
        entry[2]
        for runner in deployment.runners.values()
        for entry in runner.history
        if entry[0] == 'start'
    }
    assert attempts == {1}
