"""Schedules all tasks during one leadership term."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, Final

from chiveworks.base import Clock, ZoneName, cancel_all
from chiveworks.dispatch._account_gate import AccountGate, AccountSource, no_accounts
from chiveworks.dispatch._advice import Advisor, TicketCache
from chiveworks.dispatch._assigner import Assigner
from chiveworks.dispatch._bounds import SchedulingBounds
from chiveworks.dispatch._capacity_publisher import CapacityPublisher
from chiveworks.dispatch._claim_outbox import ClaimOutbox
from chiveworks.dispatch._consolidator import Consolidator
from chiveworks.dispatch._crash_suspicion import CrashSuspicion
from chiveworks.dispatch._drainer import Drainer
from chiveworks.dispatch._final_records import FinalRecords
from chiveworks.dispatch._fleet import Fleet
from chiveworks.dispatch._health import WorkerHealth
from chiveworks.dispatch._interference_guard import InterferenceGuard
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._job_table import JobTable
from chiveworks.dispatch._lease_handover import LeaseHandover
from chiveworks.dispatch._load_meter import LoadMeter
from chiveworks.dispatch._model_store import ModelStore
from chiveworks.dispatch._orders import Orders
from chiveworks.dispatch._periodic_checks import PeriodicChecks
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.dispatch._relocator import Relocator
from chiveworks.dispatch._run_tracker import RunTracker
from chiveworks.dispatch._stall_detector import StallDetector
from chiveworks.dispatch._starvation_guard import StarvationGuard
from chiveworks.dispatch._term_handover import TermHandover
from chiveworks.dispatch._worker_control import OrderOutcome, WorkerControl
from chiveworks.dispatch._worker_info import WorkerInfo
from chiveworks.dispatch._worker_session import WorkerSession
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.metastore import PENDING_KEY, Term, TermLostError
from chiveworks.workflow import (
    Job,
    JobState,
    StepRun,
    Submission,
    Task,
    TaskState,
    Tombstone,
    encode_counts,
)

#: Interval of the periodic checks: due occurrences, stalls, drains, moves, counts.
TICK_INTERVAL: Final = timedelta(milliseconds=50)
#: Interval at which the numbers of pending jobs are published. The platform allows
#: them to be 2 s old.
PENDING_INTERVAL: Final = timedelta(milliseconds=700)
#: Time for which a tombstone is kept. It must outlast the writes of submissions that
#: the store may still apply, which it does within seconds.
TOMBSTONE_RETENTION: Final = timedelta(seconds=30)
#: Lag of the event loop from which the log names it.
NOTABLE_LAG: Final = timedelta(milliseconds=50)
#: Minimum pause between two assignment rounds. After a longer round the pause is as
#: long as the round, so that reports and lease renewals are not delayed.
MIN_ROUND_PAUSE: Final = timedelta(milliseconds=4)


class Scheduler:
    """Assigns waiting tasks to workers whenever tasks or capacity become available.

    Args:
        term: Leadership term under which tasks are scheduled.
        clock: Source of time.
        log: Event log for scheduling decisions.
        bounds: Limits of the deployment.
        connect: Returns the client of a worker.
        service_of: Returns the service that currently runs a job's tasks.
        evacuated: Tells whether a zone is evacuated, so that nothing may start there.
        advisor: Client of the external policy, for the queues that have one.
        accounts: Returns the client accounts in force; None if the deployment has none.

    Attributes:
        ledger: What the tasks of each account claim.
    """

    def __init__(
        self,
        term: Term,
        clock: Clock,
        log: EventLog,
        bounds: SchedulingBounds,
        connect: Callable[[WorkerInfo], WorkerControl],
        service_of: Callable[[Job], str],
        evacuated: Callable[[ZoneName], bool],
        advisor: Advisor,
        accounts: AccountSource = no_accounts,
    ) -> None:
        self._term = term
        self._clock = clock
        self._log = log
        self._wake = asyncio.Event()
        self._children: set[asyncio.Task[None]] = set()
        self._failure: BaseException | None = None
        self._stopping_gangs: set[StepRun] = set()
        self._load = LoadMeter()
        self.writer = ProgressWriter(term, clock, self._on_durable)
        self.final_records = FinalRecords(
            term,
            clock,
            {JobState: 2 * bounds.retention, Tombstone: TOMBSTONE_RETENTION},
        )
        self.leases = LeaseHandover(term, clock, log, self.writer, bounds.lease_limit)
        self.handover = TermHandover(clock, log, self.writer)
        gate = AccountGate(clock, log, service_of, accounts, bounds.account_overrun)
        self.ledger = gate.ledger
        self.fleet = Fleet(
            clock,
            log,
            self.leases,
            connect,
            self._open_session,
            self.spawn,
            self.ledger,
        )
        self.orders = Orders(
            term, clock, log, self.fleet.workers, self._on_released, self.spawn
        )
        self.capacity = CapacityPublisher(
            term.leader_value, clock, log, self.writer, self.fleet.workers
        )
        self.table = JobTable(
            clock, log, self.writer, self.orders.stop, bounds.early_limit
        )
        health = WorkerHealth(clock, log, bounds.remote_factor)
        self.tracker = RunTracker(
            clock,
            log,
            self.table,
            self.writer,
            health,
            CrashSuspicion(clock, log, self.fleet.workers),
            self._wake.set,
            self.orders.stop,
            self.orders.withdraw,
        )
        self.model = InterferenceModel()
        self._model_store = ModelStore(clock, self.writer, self.model)
        placer = Placer(clock, self.fleet.workers, evacuated, self.model, gate.permits)
        self._probation = placer.probation
        self._tickets = TicketCache(clock, log, advisor)
        self._assigner = Assigner(
            clock,
            log,
            self.table,
            placer,
            service_of,
            self._tickets,
            gate,
            health.lateness,
        )
        self._outbox = ClaimOutbox(
            self.writer,
            lambda task: self.orders.start(task, self._tickets.ticket(task)),
        )
        self._stalls = StallDetector(clock, self.fleet.workers, self.orders, health)
        self._drainer = Drainer(
            clock, self.fleet.workers, self.orders, bounds.stop_limit
        )
        self._relocator = Relocator(
            clock,
            log,
            self.fleet.workers,
            self.orders,
            placer,
            self._assigner.candidates,
            bounds.stop_limit,
        )
        self._consolidator = Consolidator(
            clock,
            log,
            self.fleet.workers,
            self.orders,
            placer,
            self.model,
            lambda: self.table.filling_tasks_wait(gate.permits),
            self._assigner.smallest_interrupted,
        )
        self._starvation_guard = StarvationGuard(
            clock,
            log,
            self.table,
            self._assigner.candidates,
            placer.available_workers,
            gate.permits,
        )
        self._guard = InterferenceGuard(clock, self.orders, placer, self.model)
        self._checks = PeriodicChecks(
            log,
            (
                self._check_due,
                self._check_leases,
                self._drainer.check,
                self._relocator.check,
                self._stalls.check,
                self._consolidator.check,
                self._starvation_guard.check,
                self.final_records.collect_old,
                self._model_store.check,
            ),
        )

    async def run(self) -> None:
        """Schedules until the term is lost.

        Raises:
            Exception: Error of the first background task that failed.
        """
        self.spawn(self._tick())
        self.spawn(self._tickets.run())
        while self._term.valid:
            await self._wake.wait()
            self._wake.clear()
            began_at = self._clock.monotonic()
            self._assign()
            if self._assigner.unfinished:
                self._wake.set()
            took = self._clock.monotonic() - began_at
            await self._clock.sleep(max(MIN_ROUND_PAUSE, took))
        if self._failure is not None:
            raise self._failure

    def begin_writing(self) -> None:
        """Stores the record of leases, and then all other changes as they occur."""
        self.spawn(self._write_progress())
        self.spawn(self.final_records.run())

    async def close(self) -> None:
        """Cancels all background tasks and closes the clients of workers."""
        self._log.reduced = False
        try:
            # A child task may have spawned another one before it ended.
            while self._children:
                await cancel_all(tuple(self._children))
        finally:
            await self.fleet.close()

    def accept(self, submission: Submission, progress: bytes | None = None) -> None:
        """Adds a new job, or cancels a known one if its submission was cancelled."""
        job = self.table.jobs.get(submission.job_id)
        if job is None:
            age = self.handover.job_age(submission.job_id)
            job = self.table.add(submission, progress, age)
            if job is None:
                return
            self._log.write(
                'job_taken',
                job=job.job_id,
                queue=job.queue.name,
                resumed=bool(progress),
                **job.account_fields,
            )
            for task in job.active_tasks():
                self.fleet.adopt(task)
                self.handover.resume_run(task)
            for task in job.tasks():
                self.handover.resume_wait(task)
                if task.lapsed is not None:
                    self.fleet.follow_lapsed(task.lapsed)
                    self.tracker.resume_lapse(task.lapsed, task)
            self._reconcile_restored(job)
        elif submission.cancelled:
            self.table.cancel(job)
        self._wake.set()

    def wake(self) -> None:
        """Requests an assignment round."""
        self._wake.set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine until `close`; an error in it is logged and ends the term."""
        child = asyncio.create_task(work)
        self._children.add(child)
        child.add_done_callback(self._on_child_done)
        return child

    def _reconcile_restored(self, job: Job) -> None:
        """Ends a restored job if it is complete; stops the runs of an ended one."""
        for number in tuple(job.occurrences):
            job.close_occurrence(number)
        if job.completed and not job.state.terminal:
            job.state = JobState.COMPLETED
        if job.state.terminal:
            job.ended_at = job.ended_at or self._clock.monotonic()
            for task in job.active_tasks():
                self.orders.stop(task, job.state.value)
            self.writer.mark(job)

    def _assign(self) -> None:
        for task in self._assigner.assign():
            self._outbox.add(task)

    def _on_durable(self, job: Job) -> None:
        self._outbox.send(job)
        if job.state.terminal and job.version == job.durable_version:
            if not job.active_tasks():
                self.table.forget(job)
                self._tickets.forget_job(job)

    def _on_released(self, worker: WorkerView, task: Task, reason: str) -> None:
        self.tracker.release(worker, task, reason)
        if reason == OrderOutcome.NO_TICKET.value:
            self._tickets.forget(task.step_run)
        if task.spec.gang and task.step_run not in self._stopping_gangs:
            self._stop_gang(task.step_run)

    def _stop_gang(self, run: StepRun) -> None:
        """Stops the members of a gang, which cannot run without a released one."""
        # A stop releases a member at once if its claim was not sent; such a release must
        # not stop the other members again.
        self._stopping_gangs.add(run)
        for member in run.tasks:
            if member.state in {TaskState.CLAIMED, TaskState.RUNNING}:
                self.orders.stop(member, 'a member of the gang was not started')
        self._stopping_gangs.discard(run)

    def _on_report(self, worker: WorkerView) -> None:
        session = self.fleet.sessions.get(worker.worker_id)
        frequent_polling = self._guard.observe(worker)
        # A report ends a probation.
        frequent_polling |= self._probation.covers(worker)
        if session is not None:
            session.frequent_polling = frequent_polling

    def _open_session(self, worker: WorkerView) -> WorkerSession:
        self.handover.resume_worker(worker)
        self._wake.set()
        return WorkerSession(
            self._term,
            self._clock,
            self._log,
            worker,
            self.tracker,
            self._on_report,
            self._load,
        )

    def _on_child_done(self, child: asyncio.Task[None]) -> None:
        self._children.discard(child)
        if child.cancelled():
            return
        error = child.exception()
        if error is not None:
            self._failure = self._failure or error
            self._log.write('child_failed', error=repr(error))
            self._term.end(f'a scheduler background task failed: {error!r}')
            self._wake.set()

    async def _write_progress(self) -> None:
        with contextlib.suppress(TermLostError):
            await self.leases.confirm()
            await self.writer.run()

    async def _tick(self) -> None:
        published_at = timedelta()
        while self._term.valid:
            slept_at = self._clock.monotonic()
            await self._clock.sleep(TICK_INTERVAL)
            now = self._clock.monotonic()
            self._load.observe(now - slept_at - TICK_INTERVAL)
            self._term.note_progress()
            self._checks.run()
            if now - published_at > PENDING_INTERVAL:
                published_at = now
                self._log_lag()
                self._publish_pending()
        self._wake.set()

    def _check_due(self) -> None:
        if self.table.open_due() or self.table.ready:
            self._wake.set()

    def _check_leases(self) -> None:
        self.fleet.check_lapses()
        self.tracker.release_orphans(self.fleet.lapsed_orphans())
        self.leases.check(self.fleet.unreached_leases())

    def _log_lag(self) -> None:
        """Names a notable lag, and has fewer other lines written meanwhile."""
        self._log.reduced = self._load.lag >= NOTABLE_LAG
        if self._log.reduced:
            self._log.write(
                'scheduler_late',
                lag_ms=self._load.lag // timedelta(milliseconds=1),
                waiting_steps=len(self.table.ready),
            )

    def _publish_pending(self) -> None:
        counts = encode_counts(dict(self.table.pending()), self._clock.now())
        self.writer.put(PENDING_KEY, counts)
        self.capacity.publish()
        self.handover.record(
            self.table.jobs.values(), self.fleet.workers, self.table.ready
        )
