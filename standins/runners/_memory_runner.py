"""In-memory worker that simulates runs under a lease, for unit tests."""

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

#: Maximum length of a lease.
LEASE_LIMIT: Final = timedelta(seconds=6)
#: Duration of a run unless a test sets another one.
DEFAULT_RUN_TIME: Final = timedelta(seconds=1)


@dataclass(slots=True)
class _Run:
    attempt: int
    ends_at: timedelta
    percent: int = 0
    pace: int = 100
    stops_at: timedelta | None = None


class MemoryRunner:
    """Implementation of `chiveworks.dispatch.WorkerControl` with injectable faults.

    Args:
        clock: Clock of the worker.
        duration: Duration of every run.

    Attributes:
        reachable: Whether calls are executed and get a response.
        drop_start_answers: Number of starts that are executed but whose responses
            are lost.
        fail_runs: Whether runs end with a failure.
        start_delay: Time until a start is executed.
        ignored_stops: Number of stops that are accepted but not executed.
        lose_starts: Whether starts are not executed and get no response.
        lose_stops: Whether stops are not executed and get no response.
        stop_answer_delay: Time from the execution of a stop to its response.
        stop_duration: Time from the execution of a stop to the end of the run.
        stall_runs: Whether runs make no progress and never complete.
        history: Starts and ends of runs, in order, for assertions.
        token: Highest fencing token seen.
        born_ms: Start time of the incarnation.
        paces: Last pace set for each task, in percent; it does not affect the runs.
    """

    def __init__(self, clock: Clock, duration: timedelta = DEFAULT_RUN_TIME) -> None:
        self.reachable = True
        self.drop_start_answers = 0
        self.start_delay = timedelta()
        self.ignored_stops = 0
        self.lose_starts = False
        self.lose_stops = False
        self.stop_answer_delay = timedelta()
        self.stop_duration = timedelta()
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
        self._highest_ended_attempt: dict[TaskRef, int] = {}
        self._ends: list[EndRow] = []
        self._end_count = 0

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Starts a run."""
        if self.lose_starts or not self.reachable:
            return OrderOutcome.UNKNOWN
        if order.born_ms not in {0, self.born_ms}:
            return OrderOutcome.GONE
        if self.start_delay:
            await self._clock.sleep(self.start_delay)
        outcome = self._start(order)
        if self.drop_start_answers:
            self.drop_start_answers -= 1
            return OrderOutcome.UNKNOWN
        return outcome

    async def stop(self, ref: TaskRef, attempt: int, token: Epoch) -> OrderOutcome:
        """Stops a run."""
        if self.lose_stops or not self.reachable:
            return OrderOutcome.UNKNOWN
        if token < self.token:
            return OrderOutcome.FENCED
        self.token = token
        if self.ignored_stops:
            self.ignored_stops -= 1
            return OrderOutcome.ACCEPTED
        self._highest_ended_attempt[ref] = max(
            attempt, self._highest_ended_attempt.get(ref, 0)
        )
        run = self._runs.get(ref)
        if run is not None and run.attempt == attempt and run.stops_at is None:
            run.stops_at = self._clock.monotonic() + self.stop_duration
            self._end_due_runs()
        if self.stop_answer_delay:
            await self._clock.sleep(self.stop_answer_delay)
        return OrderOutcome.ACCEPTED

    async def set_pace(
        self, ref: TaskRef, attempt: int, percent: int, token: Epoch
    ) -> OrderOutcome:
        """Records the pace of a run."""
        self.paces[ref] = percent
        return OrderOutcome.ACCEPTED

    async def poll(
        self,
        token: Epoch,
        acknowledged: int,
        lease_end: timedelta | None,
        wait: timedelta,
        born_ms: int = 0,
    ) -> Result[WorkerReport | None, Failure]:
        """Extends the lease and reports current and ended runs."""
        life = self.born_ms
        if born_ms not in {0, life}:
            acknowledged, lease_end, wait = 0, None, timedelta()
        deadline = self._clock.monotonic() + wait
        while True:
            if not self.reachable or self.born_ms != life:
                return Err(Failure.unknown(Step.RENEW, 'runner', 'no response'))
            self._end_due_runs()
            if token >= self.token:
                self.token = token
                self._ends = [end for end in self._ends if end.number > acknowledged]
                if lease_end is not None:
                    limit = self._clock.monotonic() + LEASE_LIMIT
                    self._lease_end = max(self._lease_end, min(lease_end, limit))
            if self._ends or self._clock.monotonic() >= deadline:
                return Ok(self._report())
            await self._clock.sleep(timedelta(milliseconds=10))

    def restart(self) -> None:
        """Begins the next incarnation, which runs and knows nothing, under the same id.

        The clock goes on, unlike that of a worker of the platform.
        """
        self.born_ms += 1
        self.token = 0
        self._runs.clear()
        self._ends.clear()
        self._end_count = 0
        self._lease_end = timedelta()
        self._highest_ended_attempt.clear()

    def leave(self) -> None:
        """Ends all runs without a report and stops responding."""
        self._end_due_runs()
        for ref, run in self._runs.items():
            self.history.append(('gone', ref, run.attempt))
        self._runs.clear()
        self.reachable = False

    async def reset(self) -> None:
        """Does nothing; there are no connections."""

    async def close(self) -> None:
        """Does nothing; there are no connections."""

    @property
    def running(self) -> set[TaskRef]:
        """Tasks that are currently running."""
        self._end_due_runs()
        return set(self._runs)

    def _start(self, order: StartOrder) -> OrderOutcome:
        self._end_due_runs()
        if order.token < self.token:
            return OrderOutcome.FENCED
        self.token = order.token
        if order.lease_end <= self._clock.monotonic():
            return OrderOutcome.EXPIRED
        run = self._runs.get(order.ref)
        if run is not None and run.attempt == order.attempt:
            return OrderOutcome.ACCEPTED
        if order.attempt <= self._highest_ended_attempt.get(order.ref, 0):
            return OrderOutcome.SUPERSEDED
        self._lease_end = max(self._lease_end, order.lease_end)
        self._runs[order.ref] = _Run(
            order.attempt, self._clock.monotonic() + self._duration
        )
        self.history.append(('start', order.ref, order.attempt))
        return OrderOutcome.ACCEPTED

    def _end_due_runs(self) -> None:
        now = self._clock.monotonic()
        if self._runs and now >= self._lease_end:
            for ref in tuple(self._runs):
                self._end(ref, EndKind.LAPSED)
        for ref, run in tuple(self._runs.items()):
            kind = self._end_of(run, now)
            if kind is not None:
                self._end(ref, kind)

    def _end_of(self, run: _Run, now: timedelta) -> EndKind | None:
        if run.stops_at is not None and now >= run.stops_at:
            return EndKind.STOPPED
        if now < run.ends_at or self.stall_runs:
            return None
        return EndKind.FAILED if self.fail_runs else EndKind.DONE

    def _end(self, ref: TaskRef, kind: EndKind) -> None:
        run = self._runs.pop(ref)
        self._highest_ended_attempt[ref] = max(
            run.attempt, self._highest_ended_attempt.get(ref, 0)
        )
        self._end_count += 1
        self.history.append((kind.value, ref, run.attempt))
        self._ends.append(EndRow(self._end_count, ref, run.attempt, kind, ''))

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
