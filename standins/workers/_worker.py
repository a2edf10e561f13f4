"""Simulated worker with a control lease, epochs, attempts and measurements."""

from datetime import timedelta
from uuid import uuid4

import xxhash
from result import Err, Ok, Result

from chiveworks.base import Attempt, BootId, Clock, Epoch, TaskId, TicketMs, WorkerId
from chiveworks.workers import Refusal, RefusalReason, Renewal, StartOrder, StopCause
from standins.workers._interference import slowdown_of
from standins.workers._report import Report, ReportedRun
from standins.workers._run_table import RunTable
from standins.workers._spec import WorkerSpec
from standins.workers._task_run import TaskRun
from standins.workers._usage import SAMPLE_INTERVAL_MS, UsageRecorder
from standins.workers._worker_log import WorkerLog

_TICKET_MAX_AGE_MS = 2000
_MILLISECOND = timedelta(milliseconds=1)
_CLOCK_OFFSET_LIMIT_MS = 1_000_000_000


class SimulatedWorker:
    """Simulates a worker; `advance_to_now` replays the time since the last call.

    Attributes:
        spec: Properties of the worker.
        log: Starts and ends of attempts, for tests.
        table: Attempts on the worker.
        fail_starts: Whether all starts are refused.
    """

    def __init__(self, spec: WorkerSpec, clock: Clock) -> None:
        self.spec = spec
        self.log = WorkerLog(spec.capacity)
        self.table = RunTable(spec, self.log)
        self.fail_starts = False
        self._clock = clock
        # Every worker has a different clock offset, so that a ticket sent to the wrong
        # worker is detected.
        offset = (
            xxhash.xxh3_64_intdigest(spec.worker_id.encode()) % _CLOCK_OFFSET_LIMIT_MS
        )
        self._offset_ms = offset + 1
        self._now_ms = self._read_clock()
        self._boot_id = BootId(uuid4().hex)
        self._epoch = Epoch(0)
        self._lease_end_ms = 0
        self._usage = UsageRecorder(spec.usage_lag_ms)

    def ticket(self) -> TicketMs:
        """Advances the simulation and returns the worker's clock."""
        self.advance_to_now()
        return TicketMs(self._now_ms)

    def renew(self, renewal: Renewal) -> Result[Report, Refusal]:
        """Extends the control lease and returns a report."""
        self.advance_to_now()
        refusal = self._check_epoch(renewal.epoch)
        if refusal:
            return Err(refusal)
        for task_id, attempt in renewal.acknowledged:
            self.table.acknowledge((task_id, attempt))
        # A ticket from the future is not from this worker; 0 does not extend the lease.
        if 0 < renewal.ticket <= self._now_ms:
            lease_end = renewal.ticket + renewal.lease_ms
            self._lease_end_ms = max(self._lease_end_ms, lease_end)
        return Ok(self._report())

    def start(self, order: StartOrder) -> Result[None, Refusal]:
        """Starts an attempt without checking the worker's capacity."""
        self.advance_to_now()
        refusal = self._check_epoch(order.epoch) or self._check_start(order)
        if refusal:
            return Err(refusal)
        self.table.launch(order, self._now_ms, self._monotonic_ms())
        return Ok(None)

    def stop(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, *, checkpoint: bool
    ) -> Result[None, Refusal]:
        """Stops an attempt; an ended one is not changed."""
        found = self._find(epoch, task_id, attempt)
        if isinstance(found, Err):
            return found
        run = found.ok_value
        at_ms = self._monotonic_ms()
        self.table.halt(run, StopCause.COMMAND, at_ms, checkpoint=checkpoint)
        return Ok(None)

    def throttle(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, share: float
    ) -> Result[None, Refusal]:
        """Limits an attempt to a share of its CPU."""
        found = self._find(epoch, task_id, attempt)
        if isinstance(found, Err):
            return found
        if not 0 < share <= 1:
            return Err(
                self._refuse(RefusalReason.REFUSED, f'share is not in (0, 1]: {share}')
            )
        found.ok_value.share = share
        return Ok(None)

    def resize(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, cpu_millicores: int
    ) -> Result[None, Refusal]:
        """Sets the CPU allocated to an attempt."""
        found = self._find(epoch, task_id, attempt)
        if isinstance(found, Err):
            return found
        self.table.resize(found.ok_value, cpu_millicores)
        return Ok(None)

    def override_stop(self, task_id: TaskId) -> bool:
        """Stops a task manually; False when it is not running."""
        run = self._running_task(task_id)
        if run:
            self.table.halt(run, StopCause.MANUAL, self._monotonic_ms())
        return run is not None

    def override_resize(self, task_id: TaskId, cpu_millicores: int) -> bool:
        """Resizes a task manually; False when it is not running."""
        run = self._running_task(task_id)
        if run:
            self.table.resize(run, cpu_millicores)
        return run is not None

    def override_start(self, order: StartOrder) -> bool:
        """Starts a task manually, without checking lease or epoch.

        Returns:
            False when the attempt had been started before.
        """
        self.advance_to_now()
        if (order.task_id, order.attempt) in self.table.seen:
            return False
        self.table.launch(order, self._now_ms, self._monotonic_ms())
        return True

    def restart(self, *, keep_tasks: bool) -> None:
        """Changes the boot id; loses attempts, epoch and lease unless `keep_tasks`."""
        self.advance_to_now()
        self._boot_id = BootId(uuid4().hex)
        if keep_tasks:
            return
        self.table.discard_all(self._monotonic_ms())
        self._epoch = Epoch(0)
        self._lease_end_ms = 0

    def serve_slowdown(self, service: str) -> float:
        """Returns the current slowdown of a service."""
        self.advance_to_now()
        return slowdown_of(service, self.table.kinds(), self.table.load())

    def advance_to_now(self) -> None:
        """Simulates the time since the last call, event by event."""
        now = self._read_clock()
        while self._now_ms < now:
            self._advance(min(self._next_event_ms(), now))

    def _read_clock(self) -> int:
        return self._clock.monotonic() // _MILLISECOND + self._offset_ms

    def _monotonic_ms(self) -> int:
        return self._now_ms - self._offset_ms

    def _report(self) -> Report:
        runs = self.table.runs.values()
        return Report(
            WorkerId(self.spec.worker_id),
            self._boot_id,
            self._epoch,
            TicketMs(self._now_ms),
            max(self._lease_end_ms - self._now_ms, 0),
            tuple(ReportedRun(run.report(), run.started_ms) for run in runs),
            tuple(self._usage.take_due(self._now_ms)),
        )

    def _next_event_ms(self) -> int:
        start = self._now_ms
        events = [(start // SAMPLE_INTERVAL_MS + 1) * SAMPLE_INTERVAL_MS]
        if self._lease_end_ms > start:
            events.append(self._lease_end_ms)
        end_ms = self.table.next_end_ms()
        if end_ms is not None:
            events.append(start + end_ms)
        return min(events)

    def _advance(self, until_ms: int) -> None:
        elapsed_ms = until_ms - self._now_ms
        self._now_ms = until_ms
        at_ms = self._monotonic_ms()
        self.table.advance(elapsed_ms, at_ms)
        if until_ms == self._lease_end_ms:
            for run in self.table.running():
                self.table.halt(run, StopCause.LEASE, at_ms)
        if until_ms % SAMPLE_INTERVAL_MS == 0:
            self._usage.sample(self.table, until_ms)

    def _check_epoch(self, epoch: Epoch) -> Refusal | None:
        if epoch < self._epoch:
            return self._refuse(RefusalReason.STALE_EPOCH)
        self._epoch = epoch
        return None

    def _check_start(self, order: StartOrder) -> Refusal | None:
        age_ms = self._now_ms - order.ticket
        if not 0 <= age_ms <= _TICKET_MAX_AGE_MS:
            message = f'ticket is {age_ms} ms old'
            return self._refuse(RefusalReason.STALE_TICKET, message)
        if self._lease_end_ms <= self._now_ms:
            return self._refuse(RefusalReason.NOT_LEASED)
        if (order.task_id, order.attempt) in self.table.seen:
            return self._refuse(RefusalReason.ALREADY_STARTED)
        if self.fail_starts:
            return self._refuse(RefusalReason.REFUSED, 'fault: fail_starts')
        return None

    def _find(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[TaskRun, Refusal]:
        self.advance_to_now()
        refusal = self._check_epoch(epoch)
        if refusal:
            return Err(refusal)
        run = self.table.runs.get((task_id, attempt))
        if run is None:
            return Err(self._refuse(RefusalReason.UNKNOWN_TASK))
        return Ok(run)

    def _running_task(self, task_id: TaskId) -> TaskRun | None:
        self.advance_to_now()
        found = (run for run in self.table.running() if run.task_id == task_id)
        return next(found, None)

    def _refuse(self, reason: RefusalReason, message: str = '') -> Refusal:
        return Refusal(reason, self._epoch, message)
