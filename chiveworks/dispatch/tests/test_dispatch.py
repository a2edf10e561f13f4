"""Tests jobs from submission to their end, with failures of workers and the store."""

from collections import Counter
from datetime import timedelta

from chiveworks.base import JobId, Resources
from chiveworks.dispatch import OrderOutcome, StartOrder
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.intake import IntakeVerdict
from chiveworks.workflow import JobState, QueuePolicy, StepSpec, TaskRef

CORE = Resources(1000, 1)


async def test_a_job_of_two_steps_is_completed(deployment):
    """Guards against steps that start before the ones they depend on are done."""
    await start_leader(deployment)
    assert (
        await deployment.submit('j', StepSpec(3, CORE), StepSpec(2, CORE, after=(0,)))
        is IntakeVerdict.ACCEPTED
    )
    assert await deployment.state('j') is JobState.RUNNING
    assert {ref.step for ref in deployment.starts()} == {0}
    await deployment.wait(3)
    assert await deployment.state('j') is JobState.COMPLETED
    assert Counter(ref.step for ref in deployment.done()) == {0: 3, 1: 2}


async def test_runs_of_a_silent_worker_are_restarted_after_its_lease(deployment):
    """Guards against polls without a response that keep extending the lease, and
    against a second run before the first one has certainly ended."""
    await start_leader(deployment)
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


async def test_a_start_without_a_response_is_not_repeated_on_another_worker(deployment):
    """Guards against two runs after a start that was executed without a response."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner.drop_start_answers = 1
    await deployment.submit('j', StepSpec(2, CORE))
    await deployment.wait(3)
    assert await deployment.state('j') is JobState.COMPLETED
    assert max(Counter(deployment.starts()).values()) == 1


async def test_nothing_starts_while_the_store_is_unavailable(deployment):
    """Guards against starts without a durable claim, unknown to a later leader."""
    await start_leader(deployment)
    await deployment.submit('j', StepSpec(1, CORE), StepSpec(1, CORE, after=(0,)))
    await deployment.wait(0.5)
    deployment.store.faults.refuse = True
    await deployment.wait(4)
    assert {ref.step for ref in deployment.starts()} == {0}
    deployment.store.faults.refuse = False
    await deployment.wait(4)
    assert await deployment.state('j') is JobState.COMPLETED


async def test_a_draining_worker_gets_no_work_and_its_runs_are_stopped(deployment):
    """Guards against starts on a worker that is about to leave, and against work that
    is lost when it leaves."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=30)
    await deployment.submit('j', StepSpec(1, CORE, long_running=True))
    name = next(n for n, runner in deployment.runners.items() if runner.running)
    deployment.change_worker(name, draining=True, remaining=timedelta(seconds=2))
    await deployment.wait(3)
    assert not deployment.runners[name].running
    assert len(deployment.starts()) == 2


async def test_a_stop_without_effect_is_sent_again(deployment):
    """Guards against a cancelled run that continues after its worker has accepted the
    stop."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=30)
    await deployment.submit('j', StepSpec(1, CORE))
    runner = next(each for each in deployment.runners.values() if each.running)
    runner.ignored_stops = 1
    cancellation = deployment.spawn(deployment.intake.cancel(JobId('j')))
    await deployment.wait(4)
    assert cancellation.result() is IntakeVerdict.ACCEPTED
    assert not runner.running
    assert await deployment.state('j') is JobState.CANCELLED


async def test_a_late_stop_response_does_not_affect_the_next_run(deployment):
    """Guards against a run that counts as lost because it is not listed yet. This
    happens if the response to the stop of the previous run arrives after the claim
    of the new one."""
    deployment.add_worker('w2')
    await start_leader(deployment)
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


async def test_a_stop_without_responses_is_logged_at_its_start_and_end(deployment):
    """Guards against a stop whose outcome is not on record, against a line for each
    repetition, and against runs of ended jobs that no metric counts."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=30)
        runner.stop = _lose_responses(runner.stop, 5)
    await deployment.submit('j', StepSpec(1, CORE, long_running=True))
    fleet = deployment.leaders['a'].scheduler.fleet
    assert not fleet.runs_of_ended_jobs()
    deployment.spawn(deployment.intake.cancel(JobId('j')))
    await deployment.wait(0.3)
    (age,) = fleet.runs_of_ended_jobs()
    assert timedelta(seconds=0.1) < age < timedelta(seconds=0.4)
    await deployment.wait(1)
    lines = deployment.log.named('stop_sent')
    assert [(line['outcome'], line['sends']) for line in lines] == [
        ('unknown', 1),
        ('accepted', 6),
    ]
    assert not fleet.runs_of_ended_jobs()


def _lose_responses(stop, count):
    lost = []

    async def lose(*args):
        if len(lost) == count:
            return await stop(*args)
        lost.append(args)
        return OrderOutcome.UNKNOWN

    return lose


async def test_a_start_that_is_stopped_under_way_frees_its_worker(deployment):
    """Guards against a worker that loses its capacity for good: an earlier run has
    completed the task before the worker has responded to the start of another one."""
    await start_leader(deployment)
    await deployment.submit('j')
    earlier = next(n for n, runner in deployment.runners.items() if runner.running)
    later = next(name for name in deployment.runners if name != earlier)
    deployment.runners[earlier].reachable = False
    deployment.runners[later].start_delay = timedelta(seconds=0.6)
    # The run is completed while its worker is not reachable.
    await deployment.wait(2)
    assert not deployment.runners[earlier].running
    worker = deployment.leaders['a'].scheduler.fleet.workers[later]
    while not worker.tasks:
        await deployment.wait(0.025)
    deployment.runners[earlier].reachable = True
    await deployment.wait(10)
    assert await deployment.state('j') is JobState.COMPLETED
    assert not worker.tasks


async def test_the_outcome_of_stopping_an_unclaimed_run_is_logged(deployment):
    """Guards against a withdrawn run of which no line says whether it was stopped."""
    await start_leader(deployment)
    runner = deployment.runners['w0']
    ref = TaskRef(JobId('unclaimed'), 0, 0, 0)
    lease_end = deployment.clock.monotonic() + timedelta(seconds=5)
    await runner.start(StartOrder(ref, 3, '', lease_end, runner.token))
    await deployment.wait(1.5)
    (line,) = deployment.log.named('stop_sent')
    assert (line['job'], line['attempt'], line['outcome']) == (
        'unclaimed',
        3,
        'accepted',
    )


async def test_nothing_starts_in_an_evacuated_zone(deployment):
    """Guards against starts in a zone that operators have evacuated."""
    await start_leader(deployment)
    deployment.evacuated.add('zone')
    await deployment.submit('j')
    await deployment.wait(2)
    assert not deployment.starts()
    assert await deployment.state('j') is JobState.QUEUED


async def test_a_task_that_fails_too_often_fails_its_job(deployment):
    """Guards against more attempts than the queue allows."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner.fail_runs = True
    await deployment.submit('j')
    await deployment.wait(30)
    assert await deployment.state('j') is JobState.FAILED
    assert len(deployment.starts()) == 3


async def test_a_gang_waits_until_all_members_fit(deployment):
    """Guards against members that occupy workers while others find no capacity."""
    await start_leader(deployment)
    await deployment.submit('small', StepSpec(6, CORE))
    await deployment.submit('gang', StepSpec(4, CORE, gang=True))
    assert {ref.job_id for ref in deployment.starts()} == {'small'}
    await deployment.wait(3)
    assert await deployment.state('gang') is JobState.COMPLETED


async def test_a_worker_limit_spreads_a_step(deployment):
    """Guards against more tasks of a step on a worker than its limit."""
    await start_leader(deployment)
    await deployment.submit('j', StepSpec(2, CORE, worker_limit=1))
    await deployment.wait(0.3)
    assert all(len(runner.running) == 1 for runner in deployment.runners.values())


async def test_an_external_policy_decides_where_a_step_runs(deployment):
    """Guards against starts without a ticket, and against one policy call per task."""
    await start_leader(deployment)
    queue = QueuePolicy('advised', 'pool', attempt_limit=3, advised=True)
    await deployment.submit('j', StepSpec(6, CORE), queue=queue)
    await deployment.wait(4)
    assert await deployment.state('j') is JobState.COMPLETED
    assert not deployment.runners['w0'].history
    assert deployment.advisor.calls < 4


async def test_a_stalled_run_is_restarted_elsewhere(deployment):
    """Guards against a run that stalls on a worker that still responds."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner.stall_runs = True
    await deployment.submit('j')
    stuck = next(n for n, runner in deployment.runners.items() if runner.running)
    for name, runner in deployment.runners.items():
        runner.stall_runs = name == stuck
    await deployment.wait(6)
    assert await deployment.state('j') is JobState.COMPLETED
    assert len(deployment.starts()) == 2


async def test_members_of_a_gang_share_their_run_number(deployment):
    """Guards against gang members that wait for members with another run number."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner.fail_runs = True
    await deployment.submit('j', StepSpec(4, CORE, gang=True))
    await deployment.wait(0.5)
    attempts = {
        entry[2]
        for runner in deployment.runners.values()
        for entry in runner.history
        if entry[0] == 'start'
    }
    assert attempts == {1}


async def test_lines_about_runs_name_the_queue(deployment):
    """Guards against lines of a quiet queue that share the limit of a busy one."""
    await start_leader(deployment)
    await deployment.submit('j', StepSpec(1, CORE))
    await deployment.intake.cancel(JobId('j'))
    await deployment.submit('k', StepSpec(1, CORE))
    await deployment.wait(3)
    for event in ('run_started', 'run_stopping', 'stop_sent', 'run_ended'):
        lines = deployment.log.named(event)
        assert {line.get('queue') for line in lines} == {'urgent'}, event


async def test_a_claim_tells_how_long_the_task_waited_since_its_last_run(deployment):
    """Guards against claims of interrupted tasks that only show the age of the job."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    await deployment.submit('j', StepSpec(1, CORE, long_running=True))
    await deployment.wait(5)
    silent = next(n for n, runner in deployment.runners.items() if runner.running)
    (other,) = set(deployment.runners) - {silent}
    deployment.change_worker(other, draining=True)
    deployment.runners[silent].reachable = False
    await deployment.wait(10)
    deployment.change_worker(other, draining=False)
    await deployment.wait(1)
    first, second = deployment.log.named('task_claimed')
    assert first['waiting_ms'] < 100
    assert second['waited_ms'] > 15_000
    assert 1000 < second['waiting_ms'] < 5000
    assert second['cpu_millicores'] == 1000
