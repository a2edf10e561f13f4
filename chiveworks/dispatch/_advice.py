"""Tickets of an external policy that decides which workers may run a step."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Final, Protocol

from result import Err, Result

from chiveworks.base import Clock, Failure, JobId, WorkerId
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import Job, StepRun, Task

#: Maximum number of workers per call. Each worker makes the call slower, and the
#: platform's rule on credit assumes one call on 30 workers per step.
WORKERS_PER_CALL: Final = 30
#: Time before its expiry from which a ticket is not used for new claims, since the
#: claim must be written and the start sent while the ticket is valid.
TICKET_MARGIN: Final = timedelta(milliseconds=300)
#: Pause after a call that failed or was refused.
RETRY_PAUSE: Final = timedelta(milliseconds=100)


@dataclass(frozen=True, slots=True)
class Advice:
    """Answer of the external policy.

    Attributes:
        tickets: Ticket by worker, for the workers that may run the step.
        valid: Validity period of the tickets.
    """

    tickets: Mapping[WorkerId, str]
    valid: timedelta


class Advisor(Protocol):
    """Client of the external policy service, which takes one call at a time."""

    async def advise(
        self, job_id: JobId, occurrence: int, step: int, workers: Sequence[WorkerId]
    ) -> Result[Advice, Failure]:
        """Requests tickets for the workers that may run a step."""


@dataclass(slots=True)
class _StepTickets:
    """Requests and tickets of one step run.

    Attributes:
        asked: Workers about which the policy has answered.
        tickets: Ticket and the time until which it may be used, by worker.
        waiting: Whether a request is queued or under way.
    """

    asked: set[WorkerId] = field(default_factory=set)
    tickets: dict[WorkerId, tuple[str, timedelta]] = field(default_factory=dict)
    waiting: bool = False


class TicketCache:
    """Requests tickets for one step at a time and caches them.

    Args:
        clock: Source of time.
        log: Event log for answers.
        advisor: Client of the external policy.
    """

    def __init__(self, clock: Clock, log: EventLog, advisor: Advisor) -> None:
        self._clock = clock
        self._log = log
        self._advisor = advisor
        self._by_step: dict[StepRun, _StepTickets] = {}
        self._requests: asyncio.Queue[tuple[StepRun, list[WorkerId]]] = asyncio.Queue()

    def allowed(self, run: StepRun, workers: list[WorkerView]) -> list[WorkerView]:
        """Returns the workers with a valid ticket; requests tickets if none has one."""
        cached = self._by_step.setdefault(run, _StepTickets())
        now = self._clock.monotonic()
        permitted = [
            worker
            for worker in workers
            if worker.worker_id in cached.tickets
            and now < cached.tickets[worker.worker_id][1]
        ]
        if not permitted and not cached.waiting:
            self._request_tickets(run, cached, workers)
        return permitted

    def ticket(self, task: Task) -> str:
        """Returns the ticket for a claimed task; empty when there is none."""
        cached = self._by_step.get(task.step_run)
        if cached is None or task.worker is None:
            return ''
        return cached.tickets.get(task.worker, ('', timedelta()))[0]

    def forget(self, run: StepRun) -> None:
        """Drops the tickets of a step; they are requested again when needed."""
        self._by_step.pop(run, None)

    def forget_job(self, job: Job) -> None:
        """Drops the tickets of all steps of a job that has ended."""
        ended = [run for run in self._by_step if run.job is job]
        for run in ended:
            self._by_step.pop(run)

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            run, workers = await self._requests.get()
            result = await self._advisor.advise(
                run.job.job_id, run.occurrence, run.step, workers
            )
            cached = self._by_step.get(run)
            if isinstance(result, Err):
                self._log.write('advice_failed', reason=str(result.err_value))
                await self._clock.sleep(RETRY_PAUSE)
            elif cached is not None:
                self._store_tickets(run, cached, workers, result.ok_value)
            if cached is not None:
                cached.waiting = False

    def _request_tickets(
        self, run: StepRun, cached: _StepTickets, workers: list[WorkerView]
    ) -> None:
        names = [worker.worker_id for worker in workers]
        unasked = [name for name in names if name not in cached.asked]
        if not unasked:
            # The policy's answer for a worker does not change, but tickets expire, so
            # all workers are asked about again.
            cached.asked.clear()
            unasked = names
        if unasked:
            cached.waiting = True
            self._requests.put_nowait((run, unasked[:WORKERS_PER_CALL]))

    def _store_tickets(
        self,
        run: StepRun,
        cached: _StepTickets,
        workers: list[WorkerId],
        advice: Advice,
    ) -> None:
        expires_at = self._clock.monotonic() + advice.valid - TICKET_MARGIN
        cached.asked.update(workers)
        for worker, ticket in advice.tickets.items():
            cached.tickets[worker] = (ticket, expires_at)
        self._log.write(
            'advice_taken',
            job=run.job.job_id,
            step=run.step,
            asked=len(workers),
            allowed=len(advice.tickets),
        )
