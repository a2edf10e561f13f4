"""Tests that a run of a cancelled job ends although a stop had no effect.

Whether a run must end follows from the journal and the worker's report. A stop that
was sent, by this owner or a former one, does not count as its end.
"""

from datetime import timedelta

import pytest
from result import Ok

from chiveworks.base import ZoneName
from chiveworks.jobs import job_id_of
from chiveworks.membership import JobState, JobSubmission
from chiveworks.scheduler.tests.shard_bench import Process, ShardBench

LAITA = ZoneName('laita')
LONG_RUN_MS = 120_000


@pytest.fixture
async def bench():
    bench = ShardBench(worker_count=1)
    await bench.start()
    await bench.put_entry(idempotent=False, can_checkpoint=True)
    await bench.advance(1)
    yield bench
    # Also after a failed test, whose event loop would otherwise wait for the processes.
    await bench.stop()


async def _start_run(bench: ShardBench) -> JobSubmission:
    submission = bench.submission('bill-1', ms=LONG_RUN_MS)
    await bench.submit(submission)
    await bench.advance(3)
    assert len(_open_runs(bench)) == 1
    return submission


def _owner(bench: ShardBench) -> Process:
    return bench.owners_of(LAITA)[0]


def _open_runs(bench: ShardBench) -> list[str]:
    return [
        task_id
        for task_id, runs in bench.runs().items()
        for _, ended_ms, _ in runs
        if ended_ms is None
    ]


def _lose_stops(owner: Process, *, lose: bool) -> None:
    for control in owner.controls.values():
        control.lose_stops = lose


async def _cancel(bench: ShardBench, submission: JobSubmission) -> None:
    handler = _owner(bench).local.handler_of(LAITA)
    cancelled = await bench.drive(handler.cancel(job_id_of(submission)))
    assert isinstance(cancelled, Ok)


@pytest.mark.parametrize('change_owner', [False, True])
async def test_a_cancelled_run_whose_stop_was_lost_ends(bench, change_owner):
    """Guards against a run of a cancelled job that continues to its own end.

    The stop was sent once, by the owner that accepted the cancellation.
    """
    submission = await _start_run(bench)
    owner = _owner(bench)
    _lose_stops(owner, lose=True)
    await _cancel(bench, submission)
    await bench.advance(1)
    assert _open_runs(bench)
    if change_owner:
        bench.kill(owner)
        await bench.advance(20)
    else:
        _lose_stops(owner, lose=False)
        await bench.advance(8)
    assert not _open_runs(bench)
    await bench.advance(5)
    assert (await bench.job(submission)).state is JobState.CANCELLED


async def test_a_cancelled_run_whose_stop_was_ignored_ends(bench):
    """Guards against a cancelled run that continues after its worker has accepted the
    stop."""
    submission = await _start_run(bench)
    for control in _owner(bench).controls.values():
        control.ignored_stops = 1
    await _cancel(bench, submission)
    await bench.advance(1)
    assert _open_runs(bench)
    await bench.advance(8)
    assert not _open_runs(bench)


async def test_a_cancellation_soon_after_a_lost_stop_ends_the_run(bench):
    """Guards against a cancellation without a stop.

    The cancellation sends none while an earlier stop, for example that of an
    eviction, is still waiting for its confirmation.
    """
    submission = await _start_run(bench)
    owner = _owner(bench)
    manager = owner.candidate._parts.scheduler._session_manager
    task = bench.table_job(job_id_of(submission)).tasks[0]
    _lose_stops(owner, lose=True)
    await bench.drive(manager.stop_task(task, checkpoint=True))
    _lose_stops(owner, lose=False)
    await _cancel(bench, submission)
    await bench.advance(8)
    assert not _open_runs(bench)


async def test_stops_of_a_cancelled_run_are_repeated_with_a_pause(bench):
    """Guards against a stop for each report, which is one per second while other tasks
    wait."""
    submission = await _start_run(bench)
    await bench.put_entry('large', cpu_millicores=3900)
    await bench.submit(bench.submission('waiting', entry='large'))
    control = _owner(bench).controls['laita-w0']
    control.ignored_stops = 100
    await _cancel(bench, submission)
    seconds = 30
    await bench.advance(seconds)
    sent = 100 - control.ignored_stops
    limit = timedelta(seconds=seconds) // bench.timings.stop_repeat + 1
    assert limit // 2 < sent <= limit
