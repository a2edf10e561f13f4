"""Polls one worker: extends its lease and applies its reports."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Final

from result import Err

from chiveworks.base import Clock
from chiveworks.dispatch._load_meter import LoadMeter
from chiveworks.dispatch._run_tracker import RunTracker
from chiveworks.dispatch._worker_control import WorkerReport
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.metastore import Term

#: Maximum wait of one poll. Each poll extends the lease, which is thus extended
#: about this often.
POLL_WAIT: Final = timedelta(milliseconds=900)
#: Maximum wait of a poll while a serving task next to filling tasks is close to its
#: latency target, or while filling tasks are paused.
FREQUENT_POLL_WAIT: Final = timedelta(milliseconds=400)
#: Maximum wait of a poll while the lease is frozen, so that it is extended soon after.
FROZEN_POLL_WAIT: Final = timedelta(milliseconds=100)
#: Pause between a report and the next poll, so that runs that end together share a
#: report.
POLL_GAP: Final = timedelta(milliseconds=25)
#: Pause after a failed poll.
RETRY_PAUSE: Final = timedelta(milliseconds=200)
#: Pause after a failed poll of an unlisted worker that has not responded in this term.
UNREACHED_RETRY_PAUSE: Final = timedelta(milliseconds=500)
#: Maximum wait before the next poll for the effects of ended runs to become durable.
DURABLE_WAIT: Final = timedelta(milliseconds=300)


class WorkerSession:
    """Polls a worker until it is gone or the term ends.

    Args:
        term: Leadership term under which the lease is extended.
        clock: Source of time.
        log: Event log for lost and regained contact.
        worker: Worker to poll.
        tracker: Applies reports.
        reported: Called after each report has been applied.
        load: Tells by how much pauses between polls are stretched.

    Attributes:
        frequent_polling: Whether polls use the shorter wait, so that reports are
            more frequent.
    """

    def __init__(
        self,
        term: Term,
        clock: Clock,
        log: EventLog,
        worker: WorkerView,
        tracker: RunTracker,
        reported: Callable[[WorkerView], None],
        load: LoadMeter,
    ) -> None:
        self._term = term
        self._clock = clock
        self._log = log
        self._worker = worker
        self._tracker = tracker
        self._reported = reported
        self._load = load
        self._wake = asyncio.Event()
        self._extended_briefly = False
        self.frequent_polling = False

    def wake(self) -> None:
        """Skips the next pause; a pause that has begun is not shortened."""
        self._wake.set()

    async def run(self) -> None:
        """Polls the worker until it is no longer listed and runs nothing.

        If its lease has lapsed, polls go on until it is known whether it has crashed.
        """
        worker = self._worker
        wait = timedelta()
        while worker.listed or worker.tasks or self._tracker.may_have_crashed(worker):
            if await self._poll_contained(wait):
                wait = await self._pause_after_report()
            else:
                wait = timedelta()
                await self._pause(self._retry_pause())

    async def _poll_contained(self, wait: timedelta) -> bool:
        """Polls once; an unexpected error counts as silence of this worker only."""
        try:
            return await self._poll(wait)
        except Exception as error:
            self._log.write(
                'poll_failed', worker=self._worker.worker_id, error=repr(error)
            )
            await self._handle_silence(repr(error))
            return False

    async def _poll(self, wait: timedelta) -> bool:
        worker = self._worker
        polled_at = self._clock.monotonic()
        # A poll without a response may still have extended the lease. A silent worker
        # is therefore polled without extending its lease, so that the lease lapses.
        extends = worker.live and self._term.valid
        lease_end = self._extend_lease(polled_at) if extends else None
        result = await worker.control.poll(
            self._term.token,
            worker.acknowledge(),
            lease_end,
            wait,
            worker.born_ms,
        )
        if isinstance(result, Err):
            await self._handle_silence(str(result.err_value))
            return False
        if result.ok_value is None:
            self._handle_replacement()
            return False
        self._apply_report(result.ok_value, polled_at)
        return True

    def _extend_lease(self, now: timedelta) -> timedelta | None:
        lease = self._worker.lease
        self._extended_briefly = lease.frozen
        if lease.frozen:
            return lease.extend_briefly(now)
        return lease.extend(self._term.confirmed_at)

    def _apply_report(self, report: WorkerReport, polled_at: timedelta) -> None:
        worker = self._worker
        now = self._clock.monotonic()
        first = not worker.live or not worker.lease.known
        if worker.born_ms and report.born_ms and report.born_ms != worker.born_ms:
            self._handle_restart(report, now)
        elif not worker.live:
            self._tracker.record_return(worker, report.born_ms)
        if report.born_ms:
            worker.born_ms = report.born_ms
        worker.lease.observe_clock(report.clock, now)
        if not worker.live:
            worker.live = True
            self._log_contact('worker_reached', now, runs=len(report.running))
        self._tracker.apply(worker, report, polled_at)
        if first:
            self.wake()
        self._reported(worker)

    def _handle_restart(self, report: WorkerReport, now: timedelta) -> None:
        worker = self._worker
        self._log.write(
            'worker_restarted', worker=worker.worker_id, born_ms=report.born_ms
        )
        # A start may have reached the new incarnation before its first report.
        known = {(row.ref, row.attempt) for row in report.running}
        known.update((end.ref, end.attempt) for end in report.ended)
        # Runs whose start has no outcome yet are released, and counted, once it is known.
        lost = [
            task
            for task in worker.tasks.values()
            if (task.ref, task.attempt) not in known and task.started_at is not None
        ]
        self._tracker.record_crash(worker, lost)
        for task in lost:
            self._tracker.release(worker, task, 'the worker has restarted')
        worker.restart(report.born_ms, now)

    def _handle_replacement(self) -> None:
        """Releases the runs of a worker in whose place another one responds.

        Pending starts are left to their own outcomes: one that the other worker refuses
        never ran, so it cannot have crashed this one.
        """
        worker = self._worker
        lost = [task for task in worker.tasks.values() if not task.start_pending]
        self._tracker.record_crash(worker, lost)
        for task in lost:
            self._tracker.release(
                worker, task, 'another incarnation of the worker responded'
            )
        now = self._clock.monotonic()
        if worker.lose_contact(now):
            self._log_contact('worker_replaced', now, runs=len(lost))

    async def _handle_silence(self, reason: str) -> None:
        worker = self._worker
        now = self._clock.monotonic()
        if worker.lose_contact(now):
            self._log_contact(
                'worker_silent',
                now,
                runs=len(worker.tasks),
                lease_left_s=worker.lease.time_left(now).total_seconds(),
                reason=reason,
            )
        await worker.control.reset()

    def _log_contact(self, event: str, now: timedelta, **fields: object) -> None:
        worker = self._worker
        if worker.info.draining:
            left = worker.time_to_departure(now)
            fields['leaves_in_s'] = None if left is None else left.total_seconds()
        self._log.write(event, worker=worker.worker_id, **fields)

    def check_lapse(self) -> None:
        """Releases the runs if the lease of the silent worker has certainly lapsed."""
        worker = self._worker
        if worker.lease.lapsed(self._clock.monotonic()):
            self._tracker.record_lapse(worker)
            self._tracker.release_all(worker, 'the lease of the worker has lapsed')

    def _retry_pause(self) -> timedelta:
        reached = self._worker.listed or self._worker.lease.known
        return RETRY_PAUSE if reached else UNREACHED_RETRY_PAUSE

    async def _pause_after_report(self) -> timedelta:
        """Pauses before the next poll; returns how long that poll may wait."""
        worker = self._worker
        # A stretched pause could be longer than a brief extension of the lease.
        brief = self._extended_briefly
        await self._pause(POLL_GAP if brief else self._load.stretch(POLL_GAP))
        started_at = self._clock.monotonic()
        while worker.unacknowledged and worker.acknowledge() < worker.applied_end:
            # A poll returns immediately while ends are not acknowledged.
            if self._clock.monotonic() - started_at > DURABLE_WAIT:
                return timedelta()
            await self._clock.sleep(POLL_GAP / 2)
        if worker.lease.frozen:
            return FROZEN_POLL_WAIT
        return FREQUENT_POLL_WAIT if self.frequent_polling else POLL_WAIT

    async def _pause(self, duration: timedelta) -> None:
        if self._wake.is_set():
            self._wake.clear()
            return
        await self._clock.sleep(duration)
