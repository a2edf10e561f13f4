"""A worker in memory that runs tasks under a lease and keeps every rule."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from result import Err, Ok, Result

from chiveworks.base import Clock, Epoch, Failure, Step
from chiveworks.dispatch import (
    EndKind,
    EndRow,
    OrderOutcome,
    RunRow,
    StartOrder,
    WorkerReport,
)
from chiveworks.workflow import TaskRef

#: Longest lease that the stand-in grants.
LEASE_LIMIT: Final = timedelta(seconds=6)
#: How long a run takes unless a test says otherwise.
RUN_TIME: Final = timedelta(seconds=1)


@dataclass(slots=True)
class _Run:
    attempt: int
    ends_at: timedelta
    percent: int = 0
    pace: int = 100


class MemoryRunner:
    """One worker; `reachable` and `drop_start_answers` are its faults.

    Args:
        clock: Source of time.
        duration: How long every run takes.

    Attributes:
        reachable: Whether calls are answered and carried out.
        drop_start_answers: Number of starts that are carried out and not answered.
        fail_runs: Whether runs end as failed.
        start_delay: Time until a start is carried out.
        stop_answer_delay: Time until a stop that was carried out is answered.
        stall_runs: Whether runs make no progress and do not end.
        history: Starts and ends of runs in order, for checks.
    """

    def __init__(self, clock: Clock, duration: timedelta = RUN_TIME) -> None:
        self.reachable = True
        self.drop_start_answers = 0
        self.start_delay = timedelta()
        self.stop_answer_delay = timedelta()
        self.fail_runs = False
        self.stall_runs = False
        self.history: list[tuple[str, TaskRef, int]] = []
        self.token = 0
        self.born_ms = 1
        self.paces: dict[TaskRef, int] = {}
        self._clock = clock
        self._duration = duration
        self._lease_end = timedelta()
        self._runs: dict[TaskRef, _Run] = {}
        self._stopped: dict[TaskRef, int] = {}
        self._ends: list[EndRow] = []

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Starts a run."""
        if not self.reachable:
            return OrderOutcome.UNKNOWN
        if self.start_delay:
            await self._clock.sleep(self.start_delay)
        outcome = self._start(order)
        if self.drop_start_answers:
            self.drop_start_answers -= 1
            return OrderOutcome.UNKNOWN
        return outcome

    async def stop(self, ref: TaskRef, attempt: int, token: Epoch) -> OrderOutcome:
        """Stops a run."""
        if not self.reachable:
            return OrderOutcome.UNKNOWN
        if token < self.token:
            return OrderOutcome.FENCED
        self.token = token
        self._stopped[ref] = max(attempt, self._stopped.get(ref, 0))
        run = self._runs.get(ref)
        if run is not None and run.attempt == attempt:
            self._end(ref, EndKind.STOPPED)
        if self.stop_answer_delay:
            await self._clock.sleep(self.stop_answer_delay)
        return OrderOutcome.ACCEPTED

    async def set_pace(
        self, ref: TaskRef, attempt: int, percent: int, token: Epoch
    ) -> OrderOutcome:
        """Notes the pace of a run."""
        self.paces[ref] = percent
        return OrderOutcome.ACCEPTED

    async def hold(
        self,
        token: Epoch,
        acknowledged: int,
        lease_end: timedelta | None,
        wait: timedelta,
    ) -> Result[WorkerReport | None, Failure]:
        """Extends the lease and lists runs and ends."""
        deadline = self._clock.monotonic() + wait
        while True:
            if not self.reachable:
                return Err(Failure.unknown(Step.RENEW, 'runner', 'no answer'))
            self._progress()
            if token >= self.token:
                self.token = token
                self._ends = [end for end in self._ends if end.number > acknowledged]
                if lease_end is not None:
                    limit = self._clock.monotonic() + LEASE_LIMIT
                    self._lease_end = max(self._lease_end, min(lease_end, limit))
            if self._ends or self._clock.monotonic() >= deadline:
                return Ok(self._report())
            await self._clock.sleep(timedelta(milliseconds=10))

    async def reset(self) -> None:
        """Has no connections to drop."""

    async def close(self) -> None:
        """Has no connections to close."""

    @property
    def running(self) -> set[TaskRef]:
        """Tasks that run now."""
        self._progress()
        return set(self._runs)

    def _start(self, order: StartOrder) -> OrderOutcome:
        self._progress()
        if order.token < self.token:
            return OrderOutcome.FENCED
        self.token = order.token
        if order.lease_end <= self._clock.monotonic():
            return OrderOutcome.EXPIRED
        run = self._runs.get(order.ref)
        if run is not None and run.attempt == order.attempt:
            return OrderOutcome.ACCEPTED
        if order.attempt <= self._stopped.get(order.ref, 0):
            return OrderOutcome.SUPERSEDED
        self._lease_end = max(self._lease_end, order.lease_end)
        self._runs[order.ref] = _Run(
            order.attempt, self._clock.monotonic() + self._duration
        )
        self.history.append(('start', order.ref, order.attempt))
        return OrderOutcome.ACCEPTED

    def _progress(self) -> None:
        now = self._clock.monotonic()
        if self._runs and now >= self._lease_end:
            for ref in tuple(self._runs):
                self._end(ref, EndKind.LAPSED)
        for ref, run in tuple(self._runs.items()):
            if now >= run.ends_at and not self.stall_runs:
                self._end(ref, EndKind.FAILED if self.fail_runs else EndKind.DONE)

    def _end(self, ref: TaskRef, kind: EndKind) -> None:
        run = self._runs.pop(ref)
        self._stopped[ref] = max(run.attempt, self._stopped.get(ref, 0))
        number = len([entry for entry in self.history if entry[0] != 'start']) + 1
        self.history.append((kind.value, ref, run.attempt))
        self._ends.append(EndRow(number, ref, run.attempt, kind, ''))

    def _percent(self, run: _Run) -> int:
        if self.stall_runs:
            return run.percent
        left = (run.ends_at - self._clock.monotonic()) / self._duration
        run.percent = int(100 * (1 - left))
        return run.percent

    def _report(self) -> WorkerReport:
        rows = [
            RunRow(ref, run.attempt, '', self._percent(run), 0)
            for ref, run in self._runs.items()
        ]
        return WorkerReport(
            self._clock.monotonic(), self.born_ms, rows, tuple(self._ends)
        )
