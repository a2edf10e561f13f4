"""Tests that rounds and evacuations miss no job and do not wait for silent workers.

A round checks only jobs that have changed, so a new owner must count the jobs
replayed from the journal as changed.
"""

from datetime import timedelta

from result import Err

from chiveworks.base import Failure, Step, WorkerId, ZoneName
from chiveworks.catalogue import ZoneState
from chiveworks.membership import JobState
from chiveworks.scheduler.tests.shard_bench import ShardBench

LAITA = ZoneName('laita')
ISOLE = ZoneName('isole')


async def test_a_successor_refuses_a_job_that_fits_no_worker():
    """Guards against jobs that wait forever after a takeover."""
    bench = ShardBench()
    await bench.start()
    await bench.put_entry(cpu_millicores=64_000)
    await bench.advance(1)
    submission = bench.submission('too-large')
    await bench.submit(submission)
    bench.kill(bench.owners_of(LAITA)[0])
    await bench.advance(25)
    assert (await bench.job(submission)).state is JobState.UNSCHEDULABLE
    await bench.stop()


async def test_a_move_that_has_begun_is_completed_by_a_successor():
    """Guards against moves that are forgotten when the owner changes."""
    bench = ShardBench(zones=(LAITA, ISOLE))
    await bench.start()
    await bench.put_entry(can_checkpoint=True, idempotent=False)
    await bench.advance(1)
    submission = bench.submission('bill', count=12, ms=8000)
    await bench.submit(submission, LAITA)
    await bench.advance(3)
    await bench.set_zone(LAITA, ZoneState.OUT)
    # The paused target does not respond to the transfer, so the move stays unfinished.
    target = bench.owners_of(ISOLE)[0]
    target.gate.freeze()
    await bench.advance(1)
    assert _moving(bench)
    bench.kill(bench.owners_of(LAITA)[0])
    target.gate.thaw()
    await bench.advance(60)
    job = await bench.job(submission)
    assert job.state is JobState.FINISHED
    assert job.home == ISOLE
    assert set(bench.finishes().values()) == {1}
    await bench.stop()


async def test_a_silent_worker_does_not_delay_evictions_from_others():
    """Guards against an evacuation that waits for each stop in turn."""
    bench = ShardBench(worker_count=4, process_count=1)
    await bench.start()
    await bench.put_entry(idempotent=True, can_checkpoint=True)
    await bench.advance(1)
    await bench.submit(bench.submission('bill', count=16, ms=600_000))
    await bench.advance(3)
    session_manager = bench.processes[0].candidate._parts.scheduler._session_manager
    session_manager.sessions[WorkerId('laita-w0')]._control = SilentControl(bench.clock)
    await bench.set_zone(LAITA, ZoneState.OUT)
    await bench.advance(1)
    running = {
        worker.spec.worker_id
        for worker in bench.workers.values()
        if worker.table.running()
    }
    assert running == {'laita-w0'}
    await bench.stop()


class SilentControl:
    """Control of a worker whose responses time out."""

    def __init__(self, clock) -> None:
        self._clock = clock

    async def renew(self, *_args, **_options):
        await self._clock.sleep(timedelta(seconds=1))
        return Err(Failure.unknown(Step.STOP, 'laita-w0', 'no response in time'))

    stop = renew


def _moving(bench: ShardBench) -> bool:
    parts = bench.owners_of(LAITA)[0].candidate._parts
    return bool(parts.service._context.table.moving)
