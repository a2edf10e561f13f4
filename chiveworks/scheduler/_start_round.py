"""One round of task starts: place, claim, check the zone state, send."""

import asyncio
import logging
from dataclasses import dataclass

from result import Err, Ok, Result

from chiveworks.base import (
    Attempt,
    BootId,
    Failure,
    TaskId,
    TicketMs,
    Verdict,
    WorkerId,
)
from chiveworks.catalogue import ConfigItem, zone_key
from chiveworks.jobs import TaskClaimed, TaskRecord
from chiveworks.membership import TaskState
from chiveworks.placement import Demand, PlacementPolicy, Quarantine
from chiveworks.scheduler import _attempt_end as attempt_end
from chiveworks.scheduler._fleet import Fleet
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.scheduler._shard_lost_error import ShardLostError
from chiveworks.scheduler._start_phase import StartPhase
from chiveworks.scheduler._tracked_start import TrackedStart
from chiveworks.scheduler._work_queue import WorkQueue
from chiveworks.scheduler._worker_session import WorkerSession
from chiveworks.workers import Refusal, RefusalReason, StartOrder

_LOG = logging.getLogger(__name__)
#: Maximum starts per round; bounds a round's duration and the size of its claims in
#: the journal.
_MAX_STARTS = 500
#: Number of tasks without a suitable worker after which a round stops placing.
_MAX_UNPLACED = 16


@dataclass(frozen=True, slots=True)
class _PlacedTask:
    """A task with its demand, its worker's session and the ticket for the start."""

    task: TaskRecord
    demand: Demand
    session: WorkerSession
    ticket: TicketMs


class StartRound:
    """Starts queued tasks.

    The order of the steps bounds how long after a change of the zone state a start
    can take effect: the ticket is issued before the zone state is read, and a
    worker refuses a ticket that is too old. This holds even if the process is
    paused between the steps.
    """

    def __init__(
        self,
        context: ShardContext,
        queue: WorkQueue,
        fleet: Fleet,
        policy: PlacementPolicy,
        quarantine: Quarantine,
    ) -> None:
        self._tenure = context.tenure
        self._table = context.table
        self._committer = context.committer
        self._store = context.store
        self._replica = context.replica
        self._queue = queue
        self._fleet = fleet
        self._policy = policy
        self._quarantine = quarantine

    async def run(self, sessions: dict[WorkerId, WorkerSession]) -> int:
        """Runs one round; returns the number of confirmed starts.

        Raises:
            ShardLostError: Another process owns the shard.
        """
        if not len(self._queue) or not self._replica.is_in_service(self._tenure.zone):
            return 0
        placed = self._place(sessions)
        if not placed:
            return 0
        placed_tasks = await self._fetch_tickets(placed)
        if not placed_tasks:
            return 0
        await self._claim(placed_tasks)
        if not await self._is_zone_in_service():
            self._requeue(placed_tasks)
            return 0
        outcomes = await asyncio.gather(
            *(self._start(placed_task) for placed_task in placed_tasks)
        )
        return sum(outcomes)

    def _place(
        self, sessions: dict[WorkerId, WorkerSession]
    ) -> list[tuple[Demand, WorkerSession]]:
        index = self._fleet.candidates(sessions)
        placed: list[tuple[Demand, WorkerSession]] = []
        unplaced: list[Demand] = []
        while len(placed) < _MAX_STARTS and len(unplaced) < _MAX_UNPLACED:
            demand = self._queue.pop()
            if demand is None:
                break
            worker = self._policy.choose(demand, index.sample(demand))
            if worker is None:
                unplaced.append(demand)
                continue
            index.claim(worker, demand)
            placed.append((demand, sessions[worker]))
        for demand in unplaced:
            self._queue.give_back(demand)
        return placed

    async def _fetch_tickets(
        self, placed: list[tuple[Demand, WorkerSession]]
    ) -> list[_PlacedTask]:
        sessions = list({session.worker: session for _, session in placed}.values())
        tickets = await asyncio.gather(
            *(session.ready_ticket() for session in sessions)
        )
        ticket_of = {
            session.worker: ticket
            for session, ticket in zip(sessions, tickets, strict=True)
        }
        placed_tasks: list[_PlacedTask] = []
        for demand, session in placed:
            ticket = ticket_of[session.worker]
            # The job may have been cancelled while the tickets were fetched.
            task = self._table.tasks.get(demand.task_id)
            if task is None or not self._may_claim(task):
                self._queue.drop(demand)
            elif ticket is None or not self._still_fits(demand, session, placed_tasks):
                self._queue.give_back(demand)
            else:
                placed_tasks.append(_PlacedTask(task, demand, session, ticket))
        return placed_tasks

    def _may_claim(self, task: TaskRecord) -> bool:
        job = self._table.job_of(task.task_id)
        return (
            task.state is TaskState.QUEUED
            and not job.moving
            and not job.cancelled
            and not job.unschedulable
        )

    def _still_fits(
        self, demand: Demand, session: WorkerSession, placed_tasks: list[_PlacedTask]
    ) -> bool:
        """Checks capacity again; a new report may have shown a manual override."""
        free = self._fleet.free_on(session)
        for placed_task in placed_tasks:
            if placed_task.session is session:
                free -= placed_task.demand.resources
        return demand.resources.fits_in(free)

    async def _claim(self, placed_tasks: list[_PlacedTask]) -> None:
        claims = []
        for placed_task in placed_tasks:
            attempt = Attempt(placed_task.task.attempt + 1)
            report = placed_task.session.report
            boot_id = report.boot_id if report else BootId('')
            placed_task.session.starts[placed_task.task.task_id] = TrackedStart(
                attempt, StartPhase.CLAIMING
            )
            claims.append(
                TaskClaimed(
                    placed_task.task.task_id,
                    attempt,
                    placed_task.session.worker,
                    boot_id,
                    placed_task.demand.resources,
                )
            )
        await self._committer.commit(*claims)

    async def _is_zone_in_service(self) -> bool:
        """Reads the zone state from the store; the local replica may be stale."""
        key = zone_key(self._tenure.zone)
        read = await self._store.fetch(key)
        if isinstance(read, Err):
            _LOG.warning(
                'starting no tasks: reading the zone state from the store failed'
            )
            return False
        entry = read.ok_value.first()
        if entry is not None:
            found = ConfigItem(key, entry.value, entry.mod_revision)
            self._replica.apply((found,), self._replica.revision)
        return self._replica.is_in_service(self._tenure.zone)

    def _requeue(self, placed_tasks: list[_PlacedTask]) -> None:
        for placed_task in placed_tasks:
            self._record_not_started(placed_task)

    async def _start(self, placed_task: _PlacedTask) -> bool:
        job = self._table.job_of(placed_task.task.task_id)
        if job.cancelled:
            self._record_not_started(placed_task)
            return False
        self._quarantine.note_sent(placed_task.session.worker)
        started = await placed_task.session.start(self._order(placed_task))
        return self._handle_start_result(placed_task, started)

    def _order(self, placed_task: _PlacedTask) -> StartOrder:
        task = placed_task.task
        spec = self._table.job_of(task.task_id).spec
        return StartOrder(
            self._tenure.epoch,
            placed_task.ticket,
            TaskId(task.task_id),
            task.attempt,
            spec.kind,
            task.payload,
            task.reserved,
            task.checkpoint,
        )

    def _handle_start_result(
        self, placed_task: _PlacedTask, started: Result[None, Failure | Refusal]
    ) -> bool:
        if isinstance(started, Ok):
            return True
        error = started.err_value
        _LOG.info(
            'start of %s on %s was not confirmed: %s',
            placed_task.task.task_id,
            placed_task.session.worker,
            error,
        )
        if isinstance(error, Refusal):
            if error.reason is RefusalReason.STALE_EPOCH:
                raise ShardLostError(
                    f'a worker has already seen the later epoch {error.epoch}'
                )
            self._record_refusal(placed_task, error)
            self._record_not_started(placed_task)
        elif error.verdict is Verdict.NOT_RUN:
            self._quarantine.note_not_run(placed_task.session.worker)
            self._record_not_started(placed_task)
        # Otherwise the outcome is unknown; a later report resolves it.
        return False

    def _record_refusal(self, placed_task: _PlacedTask, refusal: Refusal) -> None:
        if refusal.reason is RefusalReason.REFUSED:
            self._quarantine.note_failed(placed_task.session.worker)
        else:
            self._quarantine.note_not_run(placed_task.session.worker)

    def _record_not_started(self, placed_task: _PlacedTask) -> None:
        job = self._table.job_of(placed_task.task.task_id)
        placed_task.session.starts.pop(placed_task.task.task_id, None)
        self._committer.commit(attempt_end.never_started(job, placed_task.task))
