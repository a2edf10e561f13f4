"""Tickets of an external policy that decides which workers may run a step."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Final, Protocol

from result import Err, Result

from chiveworks.base import Clock, Failure, JobId, WorkerId
from chiveworks.dispatch._room_checks import fits
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

    def permits(self, worker: WorkerView, now: timedelta) -> bool:
        """Whether there is a valid ticket for a worker."""
        ticket = self.tickets.get(worker.worker_id)
        return ticket is not None and now < ticket[1]

    def is_open(self, worker: WorkerView, now: timedelta) -> bool:
        """Whether the policy has not answered for a worker, or its ticket has expired."""
        if worker.worker_id in self.tickets:
            return not self.permits(worker, now)
        return worker.worker_id not in self.asked


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
        permitted = [worker for worker in workers if cached.permits(worker, now)]
        if not permitted and workers and not cached.waiting:
            unanswered = [worker for worker in workers if cached.is_open(worker, now)]
            if not unanswered:
                # The policy allows none of them: it is asked about all of them again.
                cached.asked.clear()
            self._request_tickets(run, cached, unanswered or workers)
        return permitted

    def request_more(self, run: StepRun, workers: list[WorkerView]) -> None:
        """Requests tickets for further workers with room for a task of a step.

        Call it when tasks of the step found no room on the allowed workers.

        Args:
            run: Step whose tasks wait.
            workers: Workers on which the step may start if the policy allows them.
        """
        cached = self._by_step.setdefault(run, _StepTickets())
        if cached.waiting:
            return
        now = self._clock.monotonic()
        roomy = [
            worker
            for worker in workers
            if cached.is_open(worker, now) and fits(worker, run.spec)
        ]
        if roomy:
            self._request_tickets(run, cached, roomy)

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
        """Queues a request about `WORKERS_PER_CALL` workers, those with room first."""
        by_room = sorted(workers, key=lambda worker: not fits(worker, run.spec))
        names = [worker.worker_id for worker in by_room[:WORKERS_PER_CALL]]
        cached.waiting = True
        self._requests.put_nowait((run, names))

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
