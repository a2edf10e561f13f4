"""Failure tests of manual overrides, with real candidates and simulated workers."""

import asyncio
from datetime import datetime, timedelta, timezone

import pytest
from result import Err, Ok

from chiveworks.base import (
    Attempt,
    EntryName,
    Epoch,
    Failure,
    Resources,
    Step,
    TaskId,
    TicketMs,
    Verdict,
    WorkerId,
    ZoneName,
)
from chiveworks.catalogue import CatalogueEditor, CatalogueReplica, ZoneState
from chiveworks.jobs import (
    OverrideClosed,
    OverrideNoted,
    OverrideRecord,
    TaskTable,
    decode_change,
    encode_change,
    job_id_of,
)
from chiveworks.membership import (
    FailureReason,
    JobState,
    OverrideAction,
    OverrideKind,
    OverrideResolution,
    TaskState,
    reason_of,
)
from chiveworks.scheduler import SchedulerTimings
from chiveworks.scheduler.tests.shard_bench import TASK, ShardBench
from chiveworks.workers import StartOrder

LAITA, ISOLE = ZoneName('laita'), ZoneName('isole')
W0, W1 = 'laita-w0', 'laita-w1'
ADOPT, REVERT = OverrideAction.ADOPT, OverrideAction.REVERT
#: Longer than the renewal periods of busy and idle workers, so that a report has
#: arrived.
REPORT_WAIT_S = 9
TIMINGS = SchedulerTimings(store_outage_tolerance=timedelta(seconds=20))

_BENCHES: list[ShardBench] = []


class OverrideScenario:
    """A shard bench with one running job and the manual actions of an operator."""

    def __init__(self, bench, submission):
        self.bench = bench
        self.submission = submission

    @property
    def owner(self):
        return self.bench.owners_of(LAITA)[0]

    @property
    def table(self):
        return self.owner.candidate._parts.service._context.table

    @property
    def task(self):
        return self.table.jobs[job_id_of(self.submission)].tasks[0]

    async def overrides(self):
        handler = self.owner.local.handler_of(LAITA)
        return (await self.bench.drive(handler.describe_shard())).ok_value.overrides

    async def only_override(self):
        overrides = await self.overrides()
        assert len(overrides) == 1, overrides
        return overrides[0]

    async def resolve(self, override_id, action):
        handler = self.owner.local.handler_of(LAITA)
        resolution = OverrideResolution(override_id, action, 'ana')
        return await self.bench.drive(handler.resolve_override(resolution))

    async def lose_owner(self):
        """Kills the owner and waits until the successor has received all reports."""
        self.bench.kill(self.owner)
        await self.bench.advance(14)

    async def change_owner(self):
        """Stops the owner cleanly; no worker lease lapses before the takeover."""
        former = self.owner
        await self.bench.drive(former.candidate.release())
        await self.bench.advance(6)
        assert self.owner is not former

    def start_by_hand(self, worker, task_id, attempt=1, resources=TASK, ms=60_000):
        order = StartOrder(
            Epoch(0),
            TicketMs(0),
            TaskId(task_id),
            Attempt(attempt),
            'manual',
            f'{{"duration_ms": {ms}}}',
            resources,
            '',
        )
        assert self.bench.workers[worker].override_start(order)

    def stop_by_hand(self):
        assert self.bench.workers[self.task.worker].override_stop(self.task.task_id)

    def resize_by_hand(self, cpu_millicores):
        worker = self.bench.workers[self.task.worker]
        assert worker.override_resize(self.task.task_id, cpu_millicores)

    def move_by_hand(self, target):
        task_id = self.task.task_id
        self.stop_by_hand()
        self.start_by_hand(target, task_id)

    def reach(self, worker, reachable):
        for process in self.bench.processes:
            process.controls[worker].unreachable = not reachable

    async def finish(self, seconds=90):
        """Waits until all work has ended and checks the invariants."""
        await self.bench.advance(seconds, 0.1)
        self.bench.check_capacity()
        self.bench.check_no_concurrent_runs()
        job = await self.bench.job(self.submission)
        assert await self.overrides() == ()
        return job


@pytest.fixture(autouse=True)
async def _stopped_benches():
    """Stops all benches, also after a failure, so that the event loop closes."""
    _BENCHES.clear()
    yield
    for bench in _BENCHES:
        await bench.stop()


async def _create_scenario(
    ms=30_000, count=1, workers=2, zones=(LAITA,), **fields
) -> OverrideScenario:
    bench = ShardBench(timings=TIMINGS, worker_count=workers, zones=zones)
    _BENCHES.append(bench)
    await bench.start()
    await bench.put_entry(**{'idempotent': False, 'can_checkpoint': True, **fields})
    await bench.advance(1)
    submission = bench.submission('bill-1', count=count, ms=ms)
    assert isinstance(await bench.submit(submission), Ok)
    await bench.advance(2)
    return OverrideScenario(bench, submission)


def _check_record(override, kind, scenario, worker):
    assert override.kind is kind
    assert (override.worker, override.zone) == (worker, LAITA)
    assert override.task_id == scenario.task.task_id
    assert (override.entry, override.owner) == ('recalculation', 'billing')
    assert override.detail.endswith('; job bill-1')


@pytest.mark.parametrize('action', [ADOPT, REVERT])
@pytest.mark.parametrize('new_owner', [False, True])
async def test_a_task_stopped_by_hand_is_held_until_it_is_resolved(action, new_owner):
    """Guards against a manual stop that is undone, forgotten or recorded twice."""
    scenario = await _create_scenario()
    worker = scenario.task.worker
    scenario.stop_by_hand()
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    _check_record(noted, OverrideKind.STOPPED, scenario, worker)
    if new_owner:
        await scenario.lose_owner()
    await scenario.bench.advance(30, 0.1)
    assert await scenario.only_override() == noted
    assert scenario.task.state is TaskState.HELD
    assert isinstance(await scenario.resolve(noted.override_id, action), Ok)
    again = await scenario.resolve(noted.override_id, action)
    assert reason_of(again.err_value) is FailureReason.UNKNOWN_OVERRIDE
    job = await scenario.finish()
    expected = JobState.CANCELLED if action is ADOPT else JobState.FINISHED
    assert job.state is expected


async def test_a_stop_during_the_change_of_owner_is_noted_by_the_successor():
    """Guards against a manual stop that neither owner notices."""
    scenario = await _create_scenario()
    scenario.bench.kill(scenario.owner)
    worker = scenario.bench.workers[W0]
    assert worker.override_stop(TaskId(f'{job_id_of(scenario.submission)}/0'))
    await scenario.bench.advance(14)
    noted = await scenario.only_override()
    _check_record(noted, OverrideKind.STOPPED, scenario, W0)
    await scenario.resolve(noted.override_id, REVERT)
    assert (await scenario.finish()).state is JobState.FINISHED


async def test_a_stopped_task_can_be_reverted_while_its_worker_is_out_of_reach():
    """Guards against a resolution that needs a worker it does not concern."""
    scenario = await _create_scenario()
    scenario.stop_by_hand()
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    scenario.reach(W0, reachable=False)
    assert isinstance(await scenario.resolve(noted.override_id, REVERT), Ok)
    job = await scenario.finish()
    assert job.state is JobState.FINISHED
    assert job.tasks[0].worker == W1


async def test_two_opposite_decisions_at_once_have_one_winner():
    """Guards against a revert reported as done although the adoption won."""
    scenario = await _create_scenario()
    scenario.stop_by_hand()
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    handler = scenario.owner.local.handler_of(LAITA)

    async def both():
        return await asyncio.gather(
            *(
                handler.resolve_override(
                    OverrideResolution(noted.override_id, action, 'ana')
                )
                for action in (ADOPT, REVERT)
            )
        )

    outcomes = await scenario.bench.drive(both())
    assert sorted(isinstance(outcome, Ok) for outcome in outcomes) == [False, True]
    winner = ADOPT if isinstance(outcomes[0], Ok) else REVERT
    job = await scenario.finish()
    expected = JobState.CANCELLED if winner is ADOPT else JobState.FINISHED
    assert job.state is expected


async def test_the_cancellation_of_a_held_job_ends_its_override():
    """Guards against an open override of a cancelled job."""
    scenario = await _create_scenario()
    scenario.stop_by_hand()
    await scenario.bench.advance(REPORT_WAIT_S)
    await scenario.only_override()
    handler = scenario.owner.local.handler_of(LAITA)
    await scenario.bench.drive(handler.cancel(job_id_of(scenario.submission)))
    assert (await scenario.finish()).state is JobState.CANCELLED


async def test_a_revert_does_not_start_a_second_copy_beside_a_move():
    """Guards against two copies of a task that is stopped, started on another worker,
    and whose stop is reverted before the new worker reports it."""
    scenario = await _create_scenario()
    scenario.stop_by_hand()
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    await scenario.bench.advance(1)
    scenario.start_by_hand(W1, scenario.task.task_id, ms=20_000)
    refused = await scenario.resolve(noted.override_id, REVERT)
    assert isinstance(refused, Err)
    _check_record(await scenario.only_override(), OverrideKind.MOVED, scenario, W1)
    job = await scenario.finish()
    assert job.state is JobState.FINISHED
    assert set(scenario.bench.finishes().values()) == {1}


@pytest.mark.parametrize('start_first', [False, True])
@pytest.mark.parametrize('new_owner', [False, True])
async def test_a_moved_task_is_followed(start_first, new_owner):
    """Guards against two copies and a lost task, whichever worker reports first."""
    scenario = await _create_scenario(ms=60_000)
    task_id = scenario.task.task_id
    if start_first:
        scenario.start_by_hand(W1, task_id)
        scenario.bench.workers[W0].override_stop(task_id)
        scenario.reach(W0, reachable=False)
    else:
        scenario.stop_by_hand()
        await scenario.bench.advance(REPORT_WAIT_S)
        assert (await scenario.only_override()).kind is OverrideKind.STOPPED
        scenario.start_by_hand(W1, task_id)
    await scenario.bench.advance(REPORT_WAIT_S)
    scenario.reach(W0, reachable=True)
    noted = await scenario.only_override()
    _check_record(noted, OverrideKind.MOVED, scenario, W1)
    if new_owner:
        await scenario.change_owner()
        assert await scenario.only_override() == noted
    assert (scenario.task.worker, scenario.task.is_active) == (W1, True)
    job = await scenario.finish()
    assert job.state is JobState.FINISHED
    assert set(scenario.bench.finishes().values()) == {1}


@pytest.mark.parametrize('action', [ADOPT, REVERT])
async def test_a_move_is_adopted_or_evicted(action):
    """Guards against a revert that does not evict and an adoption that does."""
    scenario = await _create_scenario(ms=60_000)
    scenario.move_by_hand(W1)
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    assert noted.kind is OverrideKind.MOVED
    assert isinstance(await scenario.resolve(noted.override_id, action), Ok)
    await scenario.bench.advance(5)
    assert scenario.task.attempt == (1 if action is ADOPT else 2)
    assert isinstance(await scenario.resolve(noted.override_id, action), Err)
    assert (await scenario.finish(120)).state is JobState.FINISHED


async def test_the_revert_of_a_move_is_refused_if_the_task_cannot_resume():
    """Guards against a revert that makes the outcome of a running task unknown."""
    scenario = await _create_scenario(ms=60_000, can_checkpoint=False)
    scenario.move_by_hand(W1)
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    refused = await scenario.resolve(noted.override_id, REVERT)
    assert refused.err_value.verdict is Verdict.NOT_RUN
    assert 'checkpoint' in refused.err_value.message
    assert isinstance(await scenario.resolve(noted.override_id, ADOPT), Ok)
    assert (await scenario.finish()).state is JobState.FINISHED


async def test_a_task_moved_twice_is_followed_to_the_last_worker():
    """Guards against a second move that is undone as a leftover of the first."""
    scenario = await _create_scenario(ms=90_000, workers=3)
    scenario.move_by_hand(W1)
    await scenario.bench.advance(REPORT_WAIT_S)
    scenario.stop_by_hand()
    await scenario.bench.advance(REPORT_WAIT_S)
    _check_record(await scenario.only_override(), OverrideKind.STOPPED, scenario, W1)
    scenario.start_by_hand('laita-w2', scenario.task.task_id, ms=20_000)
    await scenario.bench.advance(REPORT_WAIT_S)
    _check_record(
        await scenario.only_override(), OverrideKind.MOVED, scenario, 'laita-w2'
    )
    assert (await scenario.finish()).state is JobState.FINISHED
    assert set(scenario.bench.finishes().values()) == {1}


async def test_the_former_worker_of_a_move_keeps_room_for_the_copy_it_still_runs():
    """Guards against overcommitment while a copy has not been stopped yet."""
    scenario = await _create_scenario(ms=60_000, count=8)
    task_id = scenario.task.task_id
    w0 = scenario.bench.workers[W0]
    w0_tasks = {task.task_id for task in scenario.table.active_on(WorkerId(W0))}
    assert len(w0_tasks) == 4 and task_id in w0_tasks
    scenario.reach(W0, reachable=False)
    scenario.bench.workers[W1].override_stop(
        scenario.table.active_on(WorkerId(W1))[0].task_id
    )
    scenario.start_by_hand(W1, task_id)
    more = scenario.bench.submission('bill-2', count=4, ms=2000)
    await scenario.bench.submit(more)
    await scenario.bench.advance(6)
    scenario.reach(W0, reachable=True)
    for _ in range(20):
        await scenario.bench.advance(0.2)
        assert w0.log.greatest.cpu_millicores <= 4000
    scenario.bench.check_capacity()


@pytest.mark.parametrize('cpu_millicores', [500, 2000])
@pytest.mark.parametrize('new_owner', [False, True])
async def test_a_resized_task_holds_its_new_size(cpu_millicores, new_owner):
    """Guards against starts that use resources held by a resized task."""
    scenario = await _create_scenario(count=3, ms=60_000)
    scenario.resize_by_hand(cpu_millicores)
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    _check_record(noted, OverrideKind.RESIZED, scenario, W0)
    assert f'cpu_millicores={cpu_millicores}' in noted.detail
    if new_owner:
        await scenario.change_owner()
    assert await scenario.only_override() == noted
    more = scenario.bench.submission('bill-2', count=8, ms=2000)
    await scenario.bench.submit(more)
    # Enough for two batches of tasks on slowed-down, full workers and the last
    # renewal.
    await scenario.bench.advance(20)
    assert (await scenario.bench.job(more)).state is JobState.FINISHED
    assert (await scenario.finish()).state is JobState.FINISHED


async def test_a_second_resize_keeps_the_time_of_the_first():
    """Guards against an override whose start time is reset by a later resize."""
    scenario = await _create_scenario()
    scenario.resize_by_hand(2000)
    await scenario.bench.advance(REPORT_WAIT_S)
    first = await scenario.only_override()
    scenario.resize_by_hand(3000)
    await scenario.bench.advance(REPORT_WAIT_S)
    second = await scenario.only_override()
    assert second.since == first.since
    assert 'cpu_millicores=3000' in second.detail
    scenario.resize_by_hand(TASK.cpu_millicores)
    await scenario.bench.advance(REPORT_WAIT_S)
    assert await scenario.overrides() == ()
    assert (await scenario.finish()).state is JobState.FINISHED


async def test_an_adopted_size_becomes_the_entry_of_the_catalogue():
    """Guards against an adoption that does not affect the next job."""
    scenario = await _create_scenario()
    scenario.resize_by_hand(2000)
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    assert isinstance(await scenario.resolve(noted.override_id, ADOPT), Ok)
    assert isinstance(await scenario.resolve(noted.override_id, ADOPT), Err)
    editor = CatalogueEditor(
        scenario.bench.external_store, CatalogueReplica(), scenario.bench.clock
    )
    stored = (await scenario.bench.drive(editor.current('recalculation'))).ok_value
    assert stored.document.cpu_millicores == 2000
    assert stored.author == 'ana'
    await scenario.bench.advance(REPORT_WAIT_S)
    assert await scenario.overrides() == ()
    assert (await scenario.finish()).state is JobState.FINISHED


async def test_a_reverted_size_returns_on_the_worker():
    """Guards against a revert that closes the override without resizing the task."""
    scenario = await _create_scenario()
    scenario.resize_by_hand(3000)
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    scenario.reach(W0, reachable=False)
    refused = await scenario.resolve(noted.override_id, REVERT)
    assert refused.err_value.verdict is Verdict.NOT_RUN
    assert await scenario.only_override() == noted
    scenario.reach(W0, reachable=True)
    assert isinstance(await scenario.resolve(noted.override_id, REVERT), Ok)
    assert scenario.bench.workers[W0].log.committed == TASK
    await scenario.bench.advance(REPORT_WAIT_S)
    assert await scenario.overrides() == ()
    assert (await scenario.finish()).state is JobState.FINISHED


async def test_a_shrunk_task_grows_again_only_into_free_room():
    """Guards against a revert that overcommits the CPU of a worker."""
    scenario = await _create_scenario(count=4, workers=1, ms=90_000)
    scenario.resize_by_hand(500)
    assert scenario.bench.workers[W0].override_resize(
        scenario.table.jobs[job_id_of(scenario.submission)].tasks[1].task_id, 500
    )
    await scenario.bench.advance(REPORT_WAIT_S)
    more = scenario.bench.submission('bill-2', ms=8000)
    await scenario.bench.submit(more)
    await scenario.bench.advance(3)
    noted = (await scenario.overrides())[0]
    refused = await scenario.resolve(noted.override_id, REVERT)
    assert isinstance(refused, Err), refused
    assert refused.err_value.verdict is Verdict.NOT_RUN
    await scenario.bench.advance(30)
    assert isinstance(await scenario.resolve(noted.override_id, REVERT), Ok)
    assert (await scenario.finish(200)).state is JobState.FINISHED


async def test_a_lost_response_to_a_revert_is_not_called_not_run():
    """Guards against the verdict "not run" for a command that took effect."""
    scenario = await _create_scenario(ms=60_000)
    scenario.move_by_hand(W1)
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    scenario.owner.controls[W1].drop_answers = 2
    outcome = await scenario.resolve(noted.override_id, REVERT)
    assert outcome.err_value.verdict is Verdict.OUTCOME_UNKNOWN
    assert (await scenario.finish(120)).state is JobState.FINISHED


async def test_a_task_started_by_hand_holds_its_resources_at_once():
    """Guards against starts that use resources already held by a manual start.

    An idle worker is renewed only every 8 s. The report received with the ticket
    for a start lists the task and must not be ignored.
    """
    scenario = await _create_scenario(ms=4000, workers=1)
    await scenario.bench.advance(12)
    scenario.start_by_hand(W0, 'by-hand', resources=Resources(3000, 1 << 30))
    more = scenario.bench.submission('bill-2', count=4, ms=2000)
    await scenario.bench.submit(more)
    await scenario.bench.advance(3)
    noted = await scenario.only_override()
    assert noted.kind is OverrideKind.UNCLAIMED
    assert (noted.worker, noted.task_id) == (W0, 'by-hand')
    scenario.bench.check_capacity()
    await scenario.lose_owner()
    assert (await scenario.only_override()).since == noted.since
    await scenario.bench.advance(15)
    assert (await scenario.bench.job(more)).state is JobState.FINISHED
    await scenario.finish()


@pytest.mark.parametrize('action', [ADOPT, REVERT])
async def test_a_task_started_by_hand_is_adopted_or_stopped(action):
    """Guards against freeing resources before the task has ended."""
    scenario = await _create_scenario()
    scenario.start_by_hand(W1, 'by-hand', resources=Resources(3000, 1 << 30))
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    scenario.reach(W1, reachable=False)
    if action is REVERT:
        refused = await scenario.resolve(noted.override_id, action)
        assert refused.err_value.verdict is Verdict.NOT_RUN
        assert await scenario.only_override() == noted
    scenario.reach(W1, reachable=True)
    assert isinstance(await scenario.resolve(noted.override_id, action), Ok)
    if action is ADOPT:
        assert isinstance(await scenario.resolve(noted.override_id, action), Ok)
        kept = await scenario.only_override()
        assert kept.since == noted.since
        assert kept.detail.count('adopted by ana') == 1
        await scenario.bench.advance(REPORT_WAIT_S)
        assert await scenario.only_override() == kept
    else:
        await scenario.bench.advance(REPORT_WAIT_S)
        assert await scenario.overrides() == ()
    more = scenario.bench.submission('bill-2', count=8, ms=2000)
    await scenario.bench.submit(more)
    assert (await scenario.finish()).state is JobState.FINISHED


async def test_a_task_started_by_hand_on_a_worker_that_left_is_forgotten():
    """Guards against an override that can never be closed."""
    scenario = await _create_scenario(ms=4000)
    scenario.start_by_hand(W1, 'by-hand')
    await scenario.bench.advance(REPORT_WAIT_S)
    await scenario.only_override()
    scenario.reach(W1, reachable=False)
    scenario.bench.listed.pop(W1)
    await scenario.bench.advance(60, 0.1)
    assert await scenario.overrides() == ()


@pytest.mark.parametrize('kind', [OverrideKind.RESIZED, OverrideKind.MOVED])
async def test_the_override_of_a_lost_task_does_not_stay_open(kind):
    """Guards against an override that outlives its task."""
    scenario = await _create_scenario(can_checkpoint=False)
    if kind is OverrideKind.RESIZED:
        scenario.resize_by_hand(2000)
    else:
        scenario.move_by_hand(W1)
    await scenario.bench.advance(REPORT_WAIT_S)
    assert (await scenario.only_override()).kind is kind
    scenario.bench.workers[scenario.task.worker].restart(keep_tasks=False)
    job = await scenario.finish()
    assert job.state is JobState.OUTCOME_UNKNOWN


async def test_a_task_moved_to_another_zone_does_not_run_again_beside_its_copy():
    """Guards against two copies of a task stopped here and started in another zone.

    Each zone sees only half of the move, so reverting the stop has to ask the other
    zone.
    """
    scenario = await _create_scenario(zones=(LAITA, ISOLE))
    scenario.stop_by_hand()
    scenario.start_by_hand('isole-w0', scenario.task.task_id, ms=60_000)
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    refused = await scenario.resolve(noted.override_id, REVERT)
    assert refused.err_value.verdict is Verdict.NOT_RUN
    assert 'isole-w0' in refused.err_value.message
    for process in tuple(scenario.bench.owners_of(ISOLE)):
        scenario.bench.kill(process)
    refused = await scenario.resolve(noted.override_id, REVERT)
    assert 'does not respond' in refused.err_value.message
    await scenario.bench.advance(80, 0.1)
    assert isinstance(await scenario.resolve(noted.override_id, REVERT), Ok)
    assert (await scenario.finish()).state is JobState.FINISHED


async def test_a_worker_with_a_lost_start_response_gets_work_after_it_returns():
    """Guards against a worker that never gets work again.

    The response to a start was lost, the worker was unreachable until its lease
    lapsed, and the task ran elsewhere. Nothing resolved the start on that worker.
    """
    scenario = await _create_scenario(ms=2000, workers=2)
    await scenario.bench.advance(10)
    more = scenario.bench.submission('bill-2', count=1, ms=2000)
    scenario.owner.controls[W0].drop_answers = 0
    session = scenario.owner.candidate._parts.scheduler._session_manager.sessions[W0]
    original = session._control.start

    async def cut_off(order):
        scenario.reach(W0, reachable=False)
        scenario.owner.controls[W0].drop_answers = 0
        return Err(Failure.unknown(Step.START, W0, 'response lost'))

    session._control.__dict__['start'] = cut_off
    await scenario.bench.submit(more)
    await scenario.bench.advance(40, 0.1)
    session._control.__dict__['start'] = original
    scenario.reach(W0, reachable=True)
    await scenario.bench.advance(10)
    assert not session.has_pending_starts


async def test_a_zone_that_is_out_lists_the_tasks_that_run_to_completion():
    """Guards against a zone that looks empty while a task still runs there."""
    scenario = await _create_scenario(ms=30_000, can_checkpoint=False)
    handler = scenario.owner.local.handler_of(LAITA)
    shown = (await scenario.bench.drive(handler.describe_shard())).ok_value
    assert shown.remaining_tasks == ()
    await scenario.bench.set_zone(LAITA, ZoneState.OUT)
    await scenario.bench.advance(3)
    shown = (await scenario.bench.drive(handler.describe_shard())).ok_value
    assert [task.task_id for task in shown.remaining_tasks] == [scenario.task.task_id]
    assert shown.remaining_tasks[0].worker == scenario.task.worker
    job = await scenario.finish()
    assert job.state is JobState.FINISHED


async def test_a_task_that_cannot_resume_survives_a_killed_owner():
    """Guards against a worker lease that lapses before the successor renews it."""
    scenario = await _create_scenario(ms=40_000, can_checkpoint=False)
    await scenario.bench.advance(4)
    await scenario.lose_owner()
    assert (await scenario.finish()).state is JobState.FINISHED


@pytest.mark.parametrize('new_owner', [False, True])
async def test_a_closed_override_is_still_shown_for_a_day(new_owner):
    """Guards against an override that operators cannot see once it is closed."""
    scenario = await _create_scenario(count=1, ms=30_000)
    scenario.resize_by_hand(2000)
    await scenario.bench.advance(REPORT_WAIT_S)
    noted = await scenario.only_override()
    assert (await scenario.finish()).state is JobState.FINISHED
    assert await scenario.overrides() == ()
    if new_owner:
        await scenario.change_owner()
    handler = scenario.owner.local.handler_of(LAITA)
    shard = (await scenario.bench.drive(handler.describe_shard())).ok_value
    (past,) = shard.past_overrides
    assert (past.override_id, past.since) == (noted.override_id, noted.since)
    assert past.detail.startswith(noted.detail)
    scenario.bench.clock.shift(timedelta(days=1))
    shard = (await scenario.bench.drive(handler.describe_shard())).ok_value
    assert shard is None or shard.past_overrides == ()


def test_a_snapshot_keeps_closed_overrides():
    """Guards against closed overrides lost when a snapshot replaces journal records."""
    table = TaskTable()
    record = OverrideRecord(
        'o1',
        OverrideKind.MOVED,
        WorkerId('w0'),
        TaskId('t/0'),
        Attempt(1),
        EntryName('bill'),
        'billing',
        datetime(2026, 1, 1, tzinfo=timezone.utc),
        'runs; on w0',
        Resources(1),
    )
    table.apply(OverrideNoted(record))
    table.apply(OverrideClosed('o1', 'reverted'))
    copy = TaskTable()
    for change in table.snapshot():
        copy.apply(decode_change(encode_change(change)))
    assert copy.past_overrides == table.past_overrides
    assert not copy.overrides
