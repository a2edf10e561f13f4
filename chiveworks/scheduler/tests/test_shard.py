"""Failure tests of a shard, with real candidates on a manually advanced clock."""

import asyncio
from datetime import timedelta

from result import Ok

from chiveworks.base import (
    Attempt,
    Epoch,
    Resources,
    TaskId,
    TicketMs,
    Verdict,
    ZoneName,
)
from chiveworks.catalogue import ZoneState
from chiveworks.jobs import job_id_of
from chiveworks.membership import JobState, TaskState
from chiveworks.scheduler import SchedulerTimings
from chiveworks.scheduler.tests.shard_bench import ShardBench
from chiveworks.workers import StartOrder

LAITA = ZoneName('laita')
ISOLE = ZoneName('isole')


async def _started(**options) -> ShardBench:
    bench = ShardBench(**options)
    await bench.start()
    await bench.put_entry(idempotent=False, can_checkpoint=True)
    await bench.advance(1)
    return bench


async def test_a_job_runs_once_and_its_result_is_recorded():
    """Guards against tasks that run twice and results that are not stored."""
    bench = await _started()
    submission = bench.submission('bill-1', count=6)
    registered = await bench.submit(submission)
    assert isinstance(registered, Ok), registered
    await bench.advance(20)
    job = await bench.job(submission)
    assert job.state is JobState.FINISHED
    assert all(task.result for task in job.tasks)
    assert set(bench.finishes().values()) == {1}
    bench.check_capacity()
    bench.check_no_concurrent_runs()
    await bench.stop()


async def test_a_successor_finishes_the_jobs_of_a_killed_owner():
    """Guards against claims that are lost with the owner's process."""
    bench = await _started()
    submission = bench.submission('bill-1', count=10, ms=6000)
    await bench.submit(submission)
    await bench.advance(3)
    bench.kill(bench.owners_of(LAITA)[0])
    await bench.advance(60)
    job = await bench.job(submission)
    assert job.state is JobState.FINISHED
    assert set(bench.finishes().values()) == {1}
    bench.check_capacity()
    bench.check_no_concurrent_runs()
    await bench.stop()


async def test_a_frozen_owner_steps_down_when_it_wakes():
    """Guards against two owners starting the same task."""
    bench = await _started()
    submission = bench.submission('bill-1', count=12, ms=4000)
    await bench.submit(submission)
    await bench.advance(2)
    frozen = bench.owners_of(LAITA)[0]
    frozen.gate.freeze()
    await bench.advance(15)
    frozen.gate.thaw()
    await bench.advance(60)
    job = await bench.job(submission)
    assert job.state is JobState.FINISHED
    assert len(bench.owners_of(LAITA)) == 1
    assert set(bench.finishes().values()) == {1}
    bench.check_capacity()
    bench.check_no_concurrent_runs()
    await bench.stop()


async def test_a_zone_that_is_taken_out_hands_its_jobs_over():
    """Guards against starts in a zone out of service and against lost evictions."""
    bench = await _started(zones=(LAITA, ISOLE))
    submission = bench.submission('bill-1', count=6, ms=20_000)
    await bench.submit(submission, LAITA)
    await bench.advance(5)
    await bench.set_zone(LAITA, ZoneState.OUT)
    out_ms = bench.clock.monotonic().total_seconds() * 1000
    await bench.advance(60)
    job = await bench.job(submission)
    assert job.home == ISOLE
    assert job.state is JobState.FINISHED
    starts = [
        event.at_ms
        for name, worker in bench.workers.items()
        if name.startswith(LAITA)
        for event in worker.log.events
        if event.event == 'start'
    ]
    assert max(starts) <= out_ms + 3000
    assert set(bench.finishes().values()) == {1}
    bench.check_no_concurrent_runs()
    await bench.stop()


async def test_a_stop_that_comes_late_leaves_an_ended_task_alone():
    """Guards against a finished task that becomes active again and ends twice.

    An eviction stops several tasks one after another. A task that ended in the
    meantime was marked as stopping, and the journal could not be replayed.
    """
    bench = await _started()
    submission = bench.submission('bill-1', count=2, ms=6000)
    await bench.submit(submission)
    await bench.advance(2)
    parts = bench.owners_of(LAITA)[0].candidate._parts
    task = bench.table_job(job_id_of(submission)).tasks[0]
    task.state = TaskState.FINISHED
    await bench.drive(parts.scheduler._session_manager.stop_task(task, checkpoint=True))
    assert task.state is TaskState.FINISHED
    await bench.stop()


async def test_a_task_started_by_hand_counts_before_the_next_start():
    """Guards against starts beyond a worker's capacity after a manual override.

    The report received with the ticket of a start was not compared with the table,
    so an override stayed unknown until the periodic renewal, up to 8 s later.
    """
    bench = await _started(worker_count=1)
    await bench.advance(4)
    manual = StartOrder(
        Epoch(0),
        TicketMs(0),
        TaskId('manual/0'),
        Attempt(1),
        'manual',
        '{"duration_ms": 20000}',
        Resources(3000, 1 << 30, 0),
    )
    assert bench.workers['laita-w0'].override_start(manual)
    await bench.advance(0.6)
    await bench.submit(bench.submission('bill-1', count=4, ms=2000))
    await bench.advance(3)
    bench.check_capacity()
    await bench.stop()


async def test_short_tasks_on_an_idle_worker_follow_each_other():
    """Guards against task ends noticed only after the idle renewal period.

    24 tasks of 1.5 s that each fill a worker took more than 90 s on two workers.
    """
    bench = await _started()
    await bench.put_entry('large', cpu_millicores=3900, idempotent=True)
    submission = bench.submission('bill-1', 24, 'large', ms=1500)
    await bench.submit(submission)
    await bench.advance(45)
    job = await bench.job(submission)
    assert job.state is JobState.FINISHED


async def test_a_job_that_starts_while_its_move_is_prepared_stays():
    """Guards against moving a job whose task has just been started.

    The record is read before the move is journalled. A task claimed in between
    would run in both zones.
    """
    bench = await _started(zones=(LAITA, ISOLE))
    submission = bench.submission('bill-1', ms=8000)
    await bench.submit(submission, LAITA)
    owner = bench.owners_of(LAITA)[0]
    evacuation = owner.candidate._parts.scheduler._evacuation
    job = bench.table_job(job_id_of(submission))
    owner.store.faults.delay_ms = 500
    await bench.set_zone(LAITA, ZoneState.OUT)
    bench.propagate_config()
    move = asyncio.ensure_future(evacuation._move(job))
    await bench.advance(0.1)
    owner.store.faults.delay_ms = 0
    job.tasks[0].state = TaskState.CLAIMED
    await bench.advance(1)
    assert await move == 0
    assert not job.moving
    await bench.stop()


async def test_a_cancellation_waits_for_a_move_to_end():
    """Guards against a cancelled job that starts in its new home zone."""
    bench = await _started()
    submission = bench.submission('bill-1')
    await bench.submit(submission)
    job = bench.table_job(job_id_of(submission))
    job.moving = True
    handler = bench.owners_of(LAITA)[0].local.handler_of(LAITA)
    outcome = await bench.drive(handler.cancel(job.job_id))
    assert outcome.err_value.verdict is Verdict.NOT_RUN
    assert not job.cancelled
    await bench.stop()


async def test_work_in_memory_stays_bounded_while_the_store_is_down():
    """Guards against a new asyncio task per report while ends are not durable.

    After ten minutes with three ended tasks on two workers, there were 1,138 tasks
    in the event loop.
    """
    bench = await _started()
    await bench.submit(bench.submission('bill-1', 3, ms=5000))
    await bench.advance(3)
    for process in bench.processes:
        process.store.faults.outage = True
    await bench.advance(20, 0.25)
    before = len(asyncio.all_tasks())
    await bench.advance(200, 0.5)
    assert len(asyncio.all_tasks()) <= before + 2
    await bench.stop()


async def test_a_repeated_cancellation_gets_a_response_only_once_it_is_durable():
    """Guards against a cancelled job that a successor starts.

    The first cancellation waits for the store. A second one got a response at once
    from memory, and both were lost when the owner failed.
    """
    bench = await _started()
    await bench.set_zone(LAITA, ZoneState.OUT)
    submission = bench.submission('bill-1')
    await bench.submit(submission)
    owner = bench.owners_of(LAITA)[0]
    owner.store.faults.outage = True
    handler = owner.local.handler_of(LAITA)
    job_id = job_id_of(submission)
    assert await bench.drive(handler.cancel(job_id), 1) is None
    assert await bench.drive(handler.cancel(job_id), 1) is None
    assert await bench.drive(handler.describe_job(job_id), 1) is None
    owner.store.faults.outage = False
    assert isinstance(await bench.drive(handler.cancel(job_id), 5), Ok)
    await bench.stop()


async def test_a_lost_zone_is_emptied_by_an_owner_that_reaches_no_worker():
    """Guards against jobs that wait for a zone that never comes back.

    The owner counts the tasks of unreachable workers as ended only after every
    lease that a former owner may have renewed has lapsed.
    """
    tolerance = timedelta(seconds=20)
    bench = await _started(
        zones=(LAITA, ISOLE), timings=SchedulerTimings(store_outage_tolerance=tolerance)
    )
    submission = bench.submission('bill-1', count=4, ms=60_000)
    await bench.submit(submission, LAITA)
    await bench.advance(4)
    lost = [process for process in bench.processes if process.zone == LAITA]
    for process in lost:
        bench.kill(process)
    await bench.set_zone(LAITA, ZoneState.OUT)
    foreign = bench.add_process(LAITA)
    for worker, control in foreign.controls.items():
        control.unreachable = worker.startswith('laita-')
    await bench.advance(30)
    assert (await bench.job(submission)).home == LAITA
    await bench.advance(150)
    job = await bench.job(submission)
    assert (job.home, job.state) == (ISOLE, JobState.FINISHED)
    bench.check_no_concurrent_runs()
    await bench.stop()


async def test_a_silent_worker_is_not_chosen_again_at_once():
    """Guards against rounds that repeatedly wait for the same unresponsive worker.

    When an idle worker stops responding, its next periodic renewal is up to 8 s
    away.
    """
    bench = await _started()
    await bench.advance(2)
    owner = bench.owners_of(LAITA)[0]
    owner.controls['laita-w0'].unreachable = True
    submission = bench.submission('bill-1', ms=500)
    await bench.submit(submission)
    await bench.advance(3)
    session = owner.candidate._parts.scheduler._session_manager.sessions['laita-w0']
    assert not session.is_in_contact
    assert bench.workers['laita-w1'].log.events
    await bench.stop()
