"""Failure tests of manual overrides: real candidates and workers changed by hand."""

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
#: Longer than the renewal periods of busy and of idle workers.
NOTICED_S = 9
TIMINGS = SchedulerTimings(store_outage_tolerance=timedelta(seconds=20))

_BENCHES: list[ShardBench] = []


class Night:
    """A bench with one running job, and the operations of a person at night."""

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
        """Kills the owner and waits until the successor has seen all reports."""
        self.bench.kill(self.owner)
        await self.bench.advance(14)

    async def change_owner(self):
        """Stops the owner in order; leases of workers do not lapse meanwhile."""
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
        """Lets all work end and checks the promises."""
        await self.bench.advance(seconds, 0.1)
        self.bench.check_capacity()
        self.bench.check_no_concurrent_runs()
        job = await self.bench.job(self.submission)
        assert await self.overrides() == ()
        return job


@pytest.fixture(autouse=True)
async def _stopped_benches():
    """A failed test must stop its bench too, or the event loop does not close."""
    _BENCHES.clear()
    yield
    for bench in _BENCHES:
        await bench.stop()


async def _night(ms=30_000, count=1, workers=2, zones=(LAITA,), **fields) -> Night:
    bench = ShardBench(timings=TIMINGS, worker_count=workers, zones=zones)
    _BENCHES.append(bench)
    await bench.start()
    await bench.put_entry(**{'idempotent': False, 'can_checkpoint': True, **fields})
    await bench.advance(1)
    submission = bench.submission('bill-1', count=count, ms=ms)
    assert isinstance(await bench.submit(submission), Ok)
    await bench.advance(2)
    return Night(bench, submission)


def _check_record(override, kind, night, worker):
    assert override.kind is kind
    assert (override.worker, override.zone) == (worker, LAITA)
    assert override.task_id == night.task.task_id
    assert (override.entry, override.owner) == ('recalculation', 'billing')
    assert override.detail.endswith('; job bill-1')


@pytest.mark.parametrize('action', [ADOPT, REVERT])
@pytest.mark.parametrize('new_owner', [False, True])
async def test_a_task_stopped_by_hand_is_held_until_it_is_resolved(action, new_owner):
    """Guards against a stop by hand that is undone, forgotten or noted twice."""
    night = await _night()
    worker = night.task.worker
    night.stop_by_hand()
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    _check_record(noted, OverrideKind.STOPPED, night, worker)
    if new_owner:
        await night.lose_owner()
    await night.bench.advance(30, 0.1)
    assert await night.only_override() == noted
    assert night.task.state is TaskState.HELD
    assert isinstance(await night.resolve(noted.override_id, action), Ok)
    again = await night.resolve(noted.override_id, action)
    assert reason_of(again.err_value) is FailureReason.UNKNOWN_OVERRIDE
    job = await night.finish()
    expected = JobState.CANCELLED if action is ADOPT else JobState.FINISHED
    assert job.state is expected


async def test_a_stop_during_the_change_of_owner_is_noted_by_the_successor():
    """Guards against a stop that no owner sees."""
    night = await _night()
    night.bench.kill(night.owner)
    worker = night.bench.workers[W0]
    assert worker.override_stop(TaskId(f'{job_id_of(night.submission)}/0'))
    await night.bench.advance(14)
    noted = await night.only_override()
    _check_record(noted, OverrideKind.STOPPED, night, W0)
    await night.resolve(noted.override_id, REVERT)
    assert (await night.finish()).state is JobState.FINISHED


async def test_a_stopped_task_can_be_reverted_while_its_worker_is_out_of_reach():
    """Guards against a decision that needs a worker which has no say in it."""
    night = await _night()
    night.stop_by_hand()
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    night.reach(W0, reachable=False)
    assert isinstance(await night.resolve(noted.override_id, REVERT), Ok)
    job = await night.finish()
    assert job.state is JobState.FINISHED
    assert job.tasks[0].worker == W1


async def test_two_opposite_decisions_at_once_have_one_winner():
    """Guards against a revert that is reported although the adoption won."""
    night = await _night()
    night.stop_by_hand()
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    handler = night.owner.local.handler_of(LAITA)

    async def both():
        return await asyncio.gather(
            *(
                handler.resolve_override(
                    OverrideResolution(noted.override_id, action, 'ana')
                )
                for action in (ADOPT, REVERT)
            )
        )

    answers = await night.bench.drive(both())
    assert sorted(isinstance(answer, Ok) for answer in answers) == [False, True]
    winner = ADOPT if isinstance(answers[0], Ok) else REVERT
    job = await night.finish()
    expected = JobState.CANCELLED if winner is ADOPT else JobState.FINISHED
    assert job.state is expected


async def test_the_cancellation_of_a_held_job_ends_its_override():
    """Guards against an override of a job that is gone."""
    night = await _night()
    night.stop_by_hand()
    await night.bench.advance(NOTICED_S)
    await night.only_override()
    handler = night.owner.local.handler_of(LAITA)
    await night.bench.drive(handler.cancel(job_id_of(night.submission)))
    assert (await night.finish()).state is JobState.CANCELLED


async def test_a_revert_does_not_start_a_second_copy_beside_a_move():
    """Guards against two copies: stopped, started elsewhere, and reverted before
    the report of the new worker."""
    night = await _night()
    night.stop_by_hand()
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    await night.bench.advance(1)
    night.start_by_hand(W1, night.task.task_id, ms=20_000)
    refused = await night.resolve(noted.override_id, REVERT)
    assert isinstance(refused, Err)
    _check_record(await night.only_override(), OverrideKind.MOVED, night, W1)
    job = await night.finish()
    assert job.state is JobState.FINISHED
    assert set(night.bench.finishes().values()) == {1}


@pytest.mark.parametrize('start_first', [False, True])
@pytest.mark.parametrize('new_owner', [False, True])
async def test_a_moved_task_is_followed(start_first, new_owner):
    """Guards against two copies and a lost task, in both orders of noticing."""
    night = await _night(ms=60_000)
    task_id = night.task.task_id
    if start_first:
        night.start_by_hand(W1, task_id)
        night.bench.workers[W0].override_stop(task_id)
        night.reach(W0, reachable=False)
    else:
        night.stop_by_hand()
        await night.bench.advance(NOTICED_S)
        assert (await night.only_override()).kind is OverrideKind.STOPPED
        night.start_by_hand(W1, task_id)
    await night.bench.advance(NOTICED_S)
    night.reach(W0, reachable=True)
    noted = await night.only_override()
    _check_record(noted, OverrideKind.MOVED, night, W1)
    if new_owner:
        await night.change_owner()
        assert await night.only_override() == noted
    assert (night.task.worker, night.task.is_active) == (W1, True)
    job = await night.finish()
    assert job.state is JobState.FINISHED
    assert set(night.bench.finishes().values()) == {1}


@pytest.mark.parametrize('action', [ADOPT, REVERT])
async def test_a_move_is_adopted_or_evicted(action):
    """Guards against a revert without eviction and an adoption with one."""
    night = await _night(ms=60_000)
    night.move_by_hand(W1)
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    assert noted.kind is OverrideKind.MOVED
    assert isinstance(await night.resolve(noted.override_id, action), Ok)
    await night.bench.advance(5)
    assert night.task.attempt == (1 if action is ADOPT else 2)
    assert isinstance(await night.resolve(noted.override_id, action), Err)
    assert (await night.finish(120)).state is JobState.FINISHED


async def test_a_moved_task_that_cannot_be_evicted_is_not():
    """Guards against a revert that turns a running recalculation into an unknown
    outcome."""
    night = await _night(ms=60_000, can_checkpoint=False)
    night.move_by_hand(W1)
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    refused = await night.resolve(noted.override_id, REVERT)
    assert refused.err_value.verdict is Verdict.NOT_RUN
    assert 'checkpoint' in refused.err_value.message
    assert isinstance(await night.resolve(noted.override_id, ADOPT), Ok)
    assert (await night.finish()).state is JobState.FINISHED


async def test_a_task_moved_twice_is_followed_to_the_last_worker():
    """Guards against a second move that is undone as if it were the first copy."""
    night = await _night(ms=90_000, workers=3)
    night.move_by_hand(W1)
    await night.bench.advance(NOTICED_S)
    night.stop_by_hand()
    await night.bench.advance(NOTICED_S)
    _check_record(await night.only_override(), OverrideKind.STOPPED, night, W1)
    night.start_by_hand('laita-w2', night.task.task_id, ms=20_000)
    await night.bench.advance(NOTICED_S)
    _check_record(await night.only_override(), OverrideKind.MOVED, night, 'laita-w2')
    assert (await night.finish()).state is JobState.FINISHED
    assert set(night.bench.finishes().values()) == {1}


async def test_the_former_worker_of_a_move_keeps_room_for_the_copy_it_still_runs():
    """Guards against overcommitment while a copy is not stopped yet."""
    night = await _night(ms=60_000, count=8)
    task_id = night.task.task_id
    w0 = night.bench.workers[W0]
    w0_tasks = {task.task_id for task in night.table.active_on(WorkerId(W0))}
    assert len(w0_tasks) == 4 and task_id in w0_tasks
    night.reach(W0, reachable=False)
    night.bench.workers[W1].override_stop(
        night.table.active_on(WorkerId(W1))[0].task_id
    )
    night.start_by_hand(W1, task_id)
    more = night.bench.submission('bill-2', count=4, ms=2000)
    await night.bench.submit(more)
    await night.bench.advance(6)
    night.reach(W0, reachable=True)
    for _ in range(20):
        await night.bench.advance(0.2)
        assert w0.log.greatest.cpu_millicores <= 4000
    night.bench.check_capacity()


@pytest.mark.parametrize('cpu_millicores', [500, 2000])
@pytest.mark.parametrize('new_owner', [False, True])
async def test_a_resized_task_holds_its_new_size(cpu_millicores, new_owner):
    """Guards against starts into room that a resized task holds."""
    night = await _night(count=3, ms=60_000)
    night.resize_by_hand(cpu_millicores)
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    _check_record(noted, OverrideKind.RESIZED, night, W0)
    assert f'cpu_millicores={cpu_millicores}' in noted.detail
    if new_owner:
        await night.change_owner()
    assert await night.only_override() == noted
    more = night.bench.submission('bill-2', count=8, ms=2000)
    await night.bench.submit(more)
    # Two rounds of tasks that a full worker slows down, and the last renewal.
    await night.bench.advance(20)
    assert (await night.bench.job(more)).state is JobState.FINISHED
    assert (await night.finish()).state is JobState.FINISHED


async def test_a_second_resize_keeps_the_time_of_the_first():
    """Guards against an override that looks newer than it is."""
    night = await _night()
    night.resize_by_hand(2000)
    await night.bench.advance(NOTICED_S)
    first = await night.only_override()
    night.resize_by_hand(3000)
    await night.bench.advance(NOTICED_S)
    second = await night.only_override()
    assert second.since == first.since
    assert 'cpu_millicores=3000' in second.detail
    night.resize_by_hand(TASK.cpu_millicores)
    await night.bench.advance(NOTICED_S)
    assert await night.overrides() == ()
    assert (await night.finish()).state is JobState.FINISHED


async def test_an_adopted_size_becomes_the_entry_of_the_catalogue():
    """Guards against an adoption that changes nothing for the next job."""
    night = await _night()
    night.resize_by_hand(2000)
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    assert isinstance(await night.resolve(noted.override_id, ADOPT), Ok)
    assert isinstance(await night.resolve(noted.override_id, ADOPT), Err)
    editor = CatalogueEditor(
        night.bench.external_store, CatalogueReplica(), night.bench.clock
    )
    stored = (await night.bench.drive(editor.current('recalculation'))).ok_value
    assert stored.document.cpu_millicores == 2000
    assert stored.author == 'ana'
    await night.bench.advance(NOTICED_S)
    assert await night.overrides() == ()
    assert (await night.finish()).state is JobState.FINISHED


async def test_a_reverted_size_returns_on_the_worker():
    """Guards against a revert that only forgets the override."""
    night = await _night()
    night.resize_by_hand(3000)
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    night.reach(W0, reachable=False)
    refused = await night.resolve(noted.override_id, REVERT)
    assert refused.err_value.verdict is Verdict.NOT_RUN
    assert await night.only_override() == noted
    night.reach(W0, reachable=True)
    assert isinstance(await night.resolve(noted.override_id, REVERT), Ok)
    assert night.bench.workers[W0].log.committed == TASK
    await night.bench.advance(NOTICED_S)
    assert await night.overrides() == ()
    assert (await night.finish()).state is JobState.FINISHED


async def test_a_shrunk_task_grows_again_only_into_free_room():
    """Guards against a revert that commits a worker beyond its processors."""
    night = await _night(count=4, workers=1, ms=90_000)
    night.resize_by_hand(500)
    assert night.bench.workers[W0].override_resize(
        night.table.jobs[job_id_of(night.submission)].tasks[1].task_id, 500
    )
    await night.bench.advance(NOTICED_S)
    more = night.bench.submission('bill-2', ms=8000)
    await night.bench.submit(more)
    await night.bench.advance(3)
    noted = (await night.overrides())[0]
    refused = await night.resolve(noted.override_id, REVERT)
    assert isinstance(refused, Err), refused
    assert refused.err_value.verdict is Verdict.NOT_RUN
    await night.bench.advance(30)
    assert isinstance(await night.resolve(noted.override_id, REVERT), Ok)
    assert (await night.finish(200)).state is JobState.FINISHED


async def test_a_lost_answer_to_a_revert_is_not_called_not_run():
    """Guards against "not run" for a command that took effect."""
    night = await _night(ms=60_000)
    night.move_by_hand(W1)
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    night.owner.controls[W1].drop_answers = 2
    answer = await night.resolve(noted.override_id, REVERT)
    assert answer.err_value.verdict is Verdict.OUTCOME_UNKNOWN
    assert (await night.finish(120)).state is JobState.FINISHED


async def test_a_task_started_by_hand_holds_its_resources_at_once():
    """Guards against starts into room that is taken, before the next renewal.

    An idle worker is renewed every 8 s; the ticket fetched for a start tells of
    the task and must not be ignored.
    """
    night = await _night(ms=4000, workers=1)
    await night.bench.advance(12)
    night.start_by_hand(W0, 'by-hand', resources=Resources(3000, 1 << 30))
    more = night.bench.submission('bill-2', count=4, ms=2000)
    await night.bench.submit(more)
    await night.bench.advance(3)
    noted = await night.only_override()
    assert noted.kind is OverrideKind.UNCLAIMED
    assert (noted.worker, noted.task_id) == (W0, 'by-hand')
    night.bench.check_capacity()
    await night.lose_owner()
    assert (await night.only_override()).since == noted.since
    await night.bench.advance(15)
    assert (await night.bench.job(more)).state is JobState.FINISHED
    await night.finish()


@pytest.mark.parametrize('action', [ADOPT, REVERT])
async def test_a_task_started_by_hand_is_adopted_or_stopped(action):
    """Guards against resources that are freed before the task has ended."""
    night = await _night()
    night.start_by_hand(W1, 'by-hand', resources=Resources(3000, 1 << 30))
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    night.reach(W1, reachable=False)
    if action is REVERT:
        refused = await night.resolve(noted.override_id, action)
        assert refused.err_value.verdict is Verdict.NOT_RUN
        assert await night.only_override() == noted
    night.reach(W1, reachable=True)
    assert isinstance(await night.resolve(noted.override_id, action), Ok)
    if action is ADOPT:
        assert isinstance(await night.resolve(noted.override_id, action), Ok)
        kept = await night.only_override()
        assert kept.since == noted.since
        assert kept.detail.count('adopted by ana') == 1
        await night.bench.advance(NOTICED_S)
        assert await night.only_override() == kept
    else:
        await night.bench.advance(NOTICED_S)
        assert await night.overrides() == ()
    more = night.bench.submission('bill-2', count=8, ms=2000)
    await night.bench.submit(more)
    assert (await night.finish()).state is JobState.FINISHED


async def test_a_task_started_by_hand_on_a_worker_that_left_is_forgotten():
    """Guards against an override that nobody can ever close."""
    night = await _night(ms=4000)
    night.start_by_hand(W1, 'by-hand')
    await night.bench.advance(NOTICED_S)
    await night.only_override()
    night.reach(W1, reachable=False)
    night.bench.listed.pop(W1)
    await night.bench.advance(60, 0.1)
    assert await night.overrides() == ()


@pytest.mark.parametrize('kind', [OverrideKind.RESIZED, OverrideKind.MOVED])
async def test_the_override_of_a_lost_task_does_not_stay_open(kind):
    """Guards against an override that outlives its task."""
    night = await _night(can_checkpoint=False)
    if kind is OverrideKind.RESIZED:
        night.resize_by_hand(2000)
    else:
        night.move_by_hand(W1)
    await night.bench.advance(NOTICED_S)
    assert (await night.only_override()).kind is kind
    night.bench.workers[night.task.worker].restart(keep_tasks=False)
    job = await night.finish()
    assert job.state is JobState.OUTCOME_UNKNOWN


async def test_a_task_moved_to_another_zone_does_not_run_again_beside_its_copy():
    """Guards against two copies: stopped here, started by hand in another zone.

    Each zone sees half of the move; the revert of the stop has to ask the other.
    """
    night = await _night(zones=(LAITA, ISOLE))
    night.stop_by_hand()
    night.start_by_hand('isole-w0', night.task.task_id, ms=60_000)
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    refused = await night.resolve(noted.override_id, REVERT)
    assert refused.err_value.verdict is Verdict.NOT_RUN
    assert 'isole-w0' in refused.err_value.message
    for process in tuple(night.bench.owners_of(ISOLE)):
        night.bench.kill(process)
    refused = await night.resolve(noted.override_id, REVERT)
    assert 'does not answer' in refused.err_value.message
    await night.bench.advance(80, 0.1)
    assert isinstance(await night.resolve(noted.override_id, REVERT), Ok)
    assert (await night.finish()).state is JobState.FINISHED


async def test_a_worker_with_a_lost_start_answer_gets_work_after_it_returns():
    """Guards against a worker that is passed over for ever.

    The start's answer was lost, the worker was cut off until its lease lapsed,
    and the task ran elsewhere: nothing settled the start on that worker.
    """
    night = await _night(ms=2000, workers=2)
    await night.bench.advance(10)
    more = night.bench.submission('bill-2', count=1, ms=2000)
    night.owner.controls[W0].drop_answers = 0
    session = night.owner.candidate._parts.scheduler._session_manager.sessions[W0]
    original = session._control.start

    async def cut_off(order):
        night.reach(W0, reachable=False)
        night.owner.controls[W0].drop_answers = 0
        return Err(Failure.unknown(Step.START, W0, 'answer lost'))

    session._control.__dict__['start'] = cut_off
    await night.bench.submit(more)
    await night.bench.advance(40, 0.1)
    session._control.__dict__['start'] = original
    night.reach(W0, reachable=True)
    await night.bench.advance(10)
    assert not session.has_pending_starts


async def test_a_zone_that_is_out_lists_the_tasks_that_run_to_completion():
    """Guards against a drill that ends while a bill is still being computed."""
    night = await _night(ms=30_000, can_checkpoint=False)
    handler = night.owner.local.handler_of(LAITA)
    shown = (await night.bench.drive(handler.describe_shard())).ok_value
    assert shown.remaining_tasks == ()
    await night.bench.set_zone(LAITA, ZoneState.OUT)
    await night.bench.advance(3)
    shown = (await night.bench.drive(handler.describe_shard())).ok_value
    assert [task.task_id for task in shown.remaining_tasks] == [night.task.task_id]
    assert shown.remaining_tasks[0].worker == night.task.worker
    job = await night.finish()
    assert job.state is JobState.FINISHED


async def test_a_task_that_cannot_resume_survives_the_death_of_the_owner():
    """Guards against a lease that lapses before the successor renews it."""
    night = await _night(ms=40_000, can_checkpoint=False)
    await night.bench.advance(4)
    await night.lose_owner()
    assert (await night.finish()).state is JobState.FINISHED


@pytest.mark.parametrize('new_owner', [False, True])
async def test_a_closed_override_is_still_shown_for_a_day(new_owner):
    """Guards against a move at night that nobody can see in the morning."""
    night = await _night(count=1, ms=30_000)
    night.resize_by_hand(2000)
    await night.bench.advance(NOTICED_S)
    noted = await night.only_override()
    assert (await night.finish()).state is JobState.FINISHED
    assert await night.overrides() == ()
    if new_owner:
        await night.change_owner()
    handler = night.owner.local.handler_of(LAITA)
    shard = (await night.bench.drive(handler.describe_shard())).ok_value
    (past,) = shard.past_overrides
    assert (past.override_id, past.since) == (noted.override_id, noted.since)
    assert past.detail.startswith(noted.detail)
    night.bench.clock.shift(timedelta(days=1))
    shard = (await night.bench.drive(handler.describe_shard())).ok_value
    assert shard is None or shard.past_overrides == ()


def test_a_snapshot_keeps_closed_overrides():
    """Guards against past overrides that are lost with the journal's old records."""
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
