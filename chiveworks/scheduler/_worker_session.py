"""Session of the shard owner with one worker."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok, Result

from chiveworks.base import Attempt, Clock, Failure, TaskId, TicketMs, WorkerId
from chiveworks.instances import Instance
from chiveworks.scheduler._start_phase import StartPhase
from chiveworks.scheduler._tenure import Tenure
from chiveworks.scheduler._timings import SchedulerTimings
from chiveworks.scheduler._tracked_start import TrackedStart
from chiveworks.workers import (
    Refusal,
    RefusalReason,
    Renewal,
    StartOrder,
    WorkerControl,
    WorkerReport,
)

_NO_TICKET = TicketMs(0)
_RENEWALS_TO_LEASE = 2
_MS = timedelta(milliseconds=1)
#: Lag of workers' usage reports plus one renewal period.
_MEASUREMENT_LAG = timedelta(seconds=7)
_RENEWAL_MARGIN = timedelta(milliseconds=500)
#: Limits the rate of calls to a worker that grants no lease.
_MIN_PAUSE = timedelta(milliseconds=100)


class WorkerSession:
    """Renews a worker's control lease, sends commands and keeps the last report.

    Commands are sent one at a time, in the order in which they were issued.

    Attributes:
        instance: The worker as last listed.
        worker: Id of the worker.
        report: The last report; None before the first one.
        starts: Tracked starts of this owner on the worker.
        stops: Monotonic time of the last stop request, by task.
        attempted_after_lapse: Whether the last periodic renewal began after all
            leases on the worker had lapsed.
        is_in_contact: Whether the last renewal succeeded.
    """

    def __init__(
        self,
        instance: Instance,
        control: WorkerControl,
        tenure: Tenure,
        clock: Clock,
        timings: SchedulerTimings,
        initial_lease_end: timedelta,
        on_report: Callable[['WorkerSession', WorkerReport], None],
    ) -> None:
        self.instance = instance
        self.worker = WorkerId(instance.instance_id)
        self.report: WorkerReport | None = None
        self.starts: dict[TaskId, TrackedStart] = {}
        self.stops: dict[TaskId, timedelta] = {}
        self.attempted_after_lapse = False
        self.is_in_contact = False
        self._control = control
        self._tenure = tenure
        self._clock = clock
        self._timings = timings
        self._on_report = on_report
        # Monotonic time after which every lease on this worker has lapsed.
        self._lease_end = initial_lease_end
        self._ticket_received = timedelta(0)
        self._leased_until = timedelta(0)
        self._acknowledged: set[tuple[TaskId, Attempt]] = set()
        self._lock = asyncio.Lock()
        self._has_new_work = asyncio.Event()

    @property
    def is_leased(self) -> bool:
        """Whether the control lease is still valid according to the last report."""
        return self._clock.monotonic() < self._leased_until

    @property
    def has_pending_starts(self) -> bool:
        """Whether the outcome of a start is still unknown.

        Such a worker gets no further starts, since it may be faulty.
        """
        return any(one.phase is StartPhase.SENT for one in self.starts.values())

    @property
    def ticket_age(self) -> timedelta:
        """Time since the last ticket was received."""
        return self._clock.monotonic() - self._ticket_received

    def acknowledge(self, task_id: TaskId, attempt: Attempt) -> None:
        """Acknowledges an ended attempt with the next renewal; the worker drops it."""
        self._acknowledged.add((task_id, attempt))

    async def run(
        self,
        on_failure: Callable[['WorkerSession', Failure | Refusal], None],
        period_of: Callable[['WorkerSession'], timedelta],
    ) -> None:
        """Renews the lease periodically until the coroutine is cancelled.

        Args:
            on_failure: Receives the error of each renewal that failed.
            period_of: Returns the time until the next renewal.
        """
        while True:
            # Only a renewal that begins after the end of all leases shows that the
            # worker is lost: this process may have been paused until then, and
            # the worker may still respond with a report.
            self.attempted_after_lapse = self._clock.monotonic() > self._lease_end
            renewed = await self.renew()
            if isinstance(renewed, Err):
                on_failure(self, renewed.err_value)
            await self._pause(period_of)

    @property
    def _max_pause(self) -> timedelta:
        """Time within which the next renewal must be sent to keep the lease valid.

        A renewal quotes the ticket of the previous one. With a lease of 15 s and a
        renewal every 8 s, the lease of an idle worker lapsed 1 s before each
        renewal, and a task started there by hand was stopped unnoticed.
        """
        left = self._leased_until - self._clock.monotonic()
        return max(left - _RENEWAL_MARGIN, _MIN_PAUSE)

    async def renew(self) -> Result[WorkerReport, Failure | Refusal]:
        """Renews the control lease and passes on the worker's report.

        Every report is passed on, including one fetched only for its ticket. It may
        show a manual override, which must be considered before the ticket is used,
        and it contains measurements that later reports do not repeat.
        """
        async with self._lock:
            renewed = await self._renew_locked()
        # Updated also when a ticket is fetched. Otherwise each round of starts would
        # choose an unresponsive worker again and wait for its timeout.
        self.is_in_contact = isinstance(renewed, Ok)
        return renewed

    async def ready_ticket(self) -> TicketMs | None:
        """Returns a fresh ticket under a valid lease, or None without one."""
        # The first contact takes two renewals: the first only returns a ticket.
        for _ in range(_RENEWALS_TO_LEASE):
            if self.is_leased and self.ticket_age < self._timings.ticket_fresh_age:
                break
            if isinstance(await self.renew(), Err):
                return None
        return self.report.ticket if self.report and self.is_leased else None

    async def start(self, order: StartOrder) -> Result[None, Failure | Refusal]:
        """Sends a start; the worker refuses it if the order's ticket is too old."""
        async with self._lock:
            self.starts[order.task_id] = TrackedStart(
                order.attempt, StartPhase.SENT, order.ticket
            )
            self._has_new_work.set()
            started = await self._control.start(order)
            if isinstance(started, Ok) or _is_already_started(started.err_value):
                track = self.starts[order.task_id]
                track.phase = StartPhase.CONFIRMED
                track.confirmed = self._clock.monotonic()
                return Ok(None)
            return started

    async def stop(
        self, task_id: TaskId, attempt: Attempt, *, checkpoint: bool
    ) -> Result[None, Failure | Refusal]:
        """Requests a stop, which a later report confirms."""
        self.stops[task_id] = self._clock.monotonic()
        async with self._lock:
            return await self._control.stop(
                self._tenure.epoch, task_id, attempt, checkpoint=checkpoint
            )

    async def throttle(
        self, task_id: TaskId, attempt: Attempt, share: float
    ) -> Result[None, Failure | Refusal]:
        """Limits an attempt to a share of its CPU allotment."""
        async with self._lock:
            return await self._control.throttle(
                self._tenure.epoch, task_id, attempt, share
            )

    async def resize(
        self, task_id: TaskId, attempt: Attempt, cpu_millicores: int
    ) -> Result[None, Failure | Refusal]:
        """Sets the CPU allotment of an attempt."""
        async with self._lock:
            return await self._control.resize(
                self._tenure.epoch, task_id, attempt, cpu_millicores
            )

    def started_recently(self, task_id: TaskId) -> bool:
        """Returns whether usage measurements may not include the task yet."""
        track = self.starts.get(task_id)
        if track is None or track.confirmed is None:
            return False
        return self._clock.monotonic() - track.confirmed < _MEASUREMENT_LAG

    def forget_task(self, task_id: TaskId) -> None:
        """Stops tracking a task's start and stop on this worker."""
        self.starts.pop(task_id, None)
        self.stops.pop(task_id, None)

    def is_stop_due(self, task_id: TaskId) -> bool:
        """Whether a stop was never sent or its confirmation is overdue."""
        sent = self.stops.get(task_id)
        if sent is None:
            return True
        return self._clock.monotonic() - sent > self._timings.stop_repeat

    async def _pause(self, period_of: Callable[['WorkerSession'], timedelta]) -> None:
        """Waits until the next renewal, which is recomputed when a start is sent.

        Otherwise the end of a short task on an idle worker would be noticed only
        after the renewal period of idle workers.
        """
        began = self._clock.monotonic()
        while True:
            self._has_new_work.clear()
            period = period_of(self)
            if self.is_in_contact:
                period = min(period, self._max_pause)
            left = began + period - self._clock.monotonic()
            if left <= timedelta(0):
                return
            sleeper = asyncio.ensure_future(self._clock.sleep(left))
            notice = asyncio.ensure_future(self._has_new_work.wait())
            try:
                await asyncio.wait(
                    (sleeper, notice), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                sleeper.cancel()
                notice.cancel()

    async def _renew_locked(self) -> Result[WorkerReport, Failure | Refusal]:
        quoted = self.report.ticket if self.report else _NO_TICKET
        acknowledged = tuple(sorted(self._acknowledged))
        if quoted:
            # Updated before sending, because a renewal whose response is lost may also
            # have extended the lease.
            bound = self._ticket_received + self._timings.lease_bound
            self._lease_end = max(self._lease_end, bound)
        renewed = await self._control.renew(
            Renewal(
                self._tenure.owner,
                self._tenure.epoch,
                int(self._timings.worker_lease / _MS),
                quoted,
                acknowledged,
            )
        )
        if isinstance(renewed, Ok):
            self._process_report(renewed.ok_value)
            self._acknowledged.difference_update(acknowledged)
        return renewed

    def _process_report(self, report: WorkerReport) -> None:
        now = self._clock.monotonic()
        self.report = report
        self._ticket_received = now
        self._leased_until = now + report.lease_left_ms * _MS
        self._on_report(self, report)


def _is_already_started(error: Failure | Refusal) -> bool:
    return isinstance(error, Refusal) and error.reason is RefusalReason.ALREADY_STARTED
