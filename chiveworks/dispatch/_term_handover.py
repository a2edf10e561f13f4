"""Hands times and counts that outlive a leadership term over to the next leader."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from heapq import nsmallest
from typing import Final

from chiveworks.base import Clock, JobId, WorkerId
from chiveworks.dispatch._handover_record import (
    HandoverRecord,
    Quarantine,
    Stall,
    Wait,
    decode_handover,
)
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.metastore import HANDOVER_KEY
from chiveworks.workflow import Job, StepRun, Task, TaskRef, TaskState

#: Maximum number of entries of each kind in a record. It bounds the record to a few KB,
#: whatever waits; the longest waits are kept.
ENTRY_LIMIT: Final = 100
#: Time without progress from which a run is recorded.
MIN_STALL: Final = timedelta(milliseconds=700)


class TermHandover:
    """Owner of the waits that go on although the leader changes.

    The record is written together with the numbers of pending jobs, so it costs no
    call of its own. All times are relative to the write, and a reader counts them from
    its read: a wait is never taken for longer than it was, except that a quarantine may
    last longer by the time without a leader. A killed leader loses what happened since
    its last write. The record of any earlier term counts, as nothing that must hold
    depends on it; see `LeaseHandover` for the leases, of which that is not true.

    Args:
        clock: Source of time.
        log: Event log for a record that cannot be read.
        writer: Writes the record.
    """

    def __init__(self, clock: Clock, log: EventLog, writer: ProgressWriter) -> None:
        self._clock = clock
        self._log = log
        self._writer = writer
        self._inherited = HandoverRecord()
        self._stored = HandoverRecord()

    def inherit(self, stored: bytes) -> None:
        """Takes over the record of an earlier leader."""
        try:
            self._inherited = decode_handover(stored)
        except ValueError as error:
            self._log.write('entry_skipped', key=HANDOVER_KEY, reason=str(error))

    def job_age(self, job_id: JobId) -> timedelta | None:
        """Returns how long a job had waited at the record; None if that is unknown."""
        return self._inherited.job_ages.get(job_id)

    def resume_worker(self, worker: WorkerView) -> None:
        """Continues the quarantine of a worker that this leader sees for the first time."""
        quarantine = self._inherited.quarantines.get(worker.worker_id)
        if quarantine is not None:
            worker.quarantined_until = self._clock.monotonic() + quarantine.left
            worker.failure_streak = quarantine.failure_streak

    def resume_run(self, task: Task) -> None:
        """Continues the time without progress of an adopted run."""
        stall = self._inherited.stalls.get(task.ref)
        if stall is not None and stall.attempt == task.attempt:
            task.progress_percent = stall.percent
            task.progressed_at = self._clock.monotonic() - stall.duration

    def resume_wait(self, task: Task) -> None:
        """Continues the wait of an interrupted task for a worker."""
        wait = self._inherited.waits.get(task.ref)
        waits = task.state is TaskState.WAITING
        if wait is not None and waits and wait.attempt == task.attempt:
            task.waiting_since = self._clock.monotonic() - wait.duration

    def record(
        self,
        jobs: Iterable[Job],
        workers: Mapping[WorkerId, WorkerView],
        ready: Iterable[StepRun],
    ) -> None:
        """Writes the current waits, unless there are none now nor in the store.

        Args:
            jobs: Open jobs.
            workers: Workers by id.
            ready: Steps with waiting tasks.
        """
        now = self._clock.monotonic()
        current = HandoverRecord(
            _job_ages(jobs, now),
            _quarantines(workers.values(), now),
            _stalls(workers.values(), now),
            _waits(ready, now),
        )
        if current != self._stored:
            self._stored = current
            self._writer.put(HANDOVER_KEY, current.encode())


def _job_ages(jobs: Iterable[Job], now: timedelta) -> dict[JobId, timedelta]:
    waiting = (job for job in jobs if not job.started and not job.state.terminal)
    oldest = nsmallest(ENTRY_LIMIT, waiting, key=lambda job: job.seen_at)
    return {job.job_id: now - job.seen_at for job in oldest}


def _quarantines(
    workers: Iterable[WorkerView], now: timedelta
) -> dict[WorkerId, Quarantine]:
    quarantined = (worker for worker in workers if worker.quarantined_until > now)
    longest = nsmallest(
        ENTRY_LIMIT, quarantined, key=lambda worker: -worker.quarantined_until
    )
    return {
        worker.worker_id: Quarantine(
            worker.quarantined_until - now, worker.failure_streak
        )
        for worker in longest
    }


def _stalls(workers: Iterable[WorkerView], now: timedelta) -> dict[TaskRef, Stall]:
    standing = (
        task
        for worker in workers
        for task in worker.tasks.values()
        if task.state is TaskState.RUNNING and now - task.progressed_at >= MIN_STALL
    )
    longest = nsmallest(ENTRY_LIMIT, standing, key=lambda task: task.progressed_at)
    return {
        task.ref: Stall(task.attempt, task.progress_percent, now - task.progressed_at)
        for task in longest
    }


def _waits(ready: Iterable[StepRun], now: timedelta) -> dict[TaskRef, Wait]:
    interrupted = (
        task
        for run in ready
        if run.interrupted_at is not None
        for task in run.waiting()
        if task.attempt
    )
    longest = nsmallest(ENTRY_LIMIT, interrupted, key=lambda task: task.waiting_since)
    return {task.ref: Wait(task.attempt, now - task.waiting_since) for task in longest}
