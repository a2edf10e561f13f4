"""One round of starts: place, claim, check the zone, send."""

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
#: Starts in one round; bounds a round's time and its journal record.
_ROUND_LIMIT = 500
#: Tasks without a suitable worker after which a round looks no further.
_MISS_LIMIT = 16


@dataclass(frozen=True, slots=True)
class _Pick:
    """A task, its demand, its worker's session and the ticket to quote."""

    task: TaskRecord
    demand: Demand
    session: WorkerSession
    ticket: TicketMs


class StartRound:
    """Starts waiting tasks.

    The order of steps bounds how late a start can take effect: the ticket is
    older than the read of the zone's switch, and a worker refuses a ticket that
    is too old, wherever this process was paused in between.
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
        picks = await self._ready(placed)
        if not picks:
            return 0
        await self._claim(picks)
        if not await self._is_zone_in_service():
            self._requeue(picks)
            return 0
        outcomes = await asyncio.gather(*(self._start(pick) for pick in picks))
        return sum(outcomes)

    def _place(
        self, sessions: dict[WorkerId, WorkerSession]
    ) -> list[tuple[Demand, WorkerSession]]:
        index = self._fleet.candidates(sessions)
        placed: list[tuple[Demand, WorkerSession]] = []
        waiting: list[Demand] = []
        while len(placed) < _ROUND_LIMIT and len(waiting) < _MISS_LIMIT:
            demand = self._queue.pop()
            if demand is None:
                break
            worker = self._policy.choose(demand, index.sample(demand))
            if worker is None:
                waiting.append(demand)
                continue
            index.claim(worker, demand)
            placed.append((demand, sessions[worker]))
        for demand in waiting:
            self._queue.give_back(demand)
        return placed

    async def _ready(self, placed: list[tuple[Demand, WorkerSession]]) -> list[_Pick]:
        sessions = list({session.worker: session for _, session in placed}.values())
        tickets = await asyncio.gather(
            *(session.ready_ticket() for session in sessions)
        )
        ticket_of = {
            session.worker: ticket
            for session, ticket in zip(sessions, tickets, strict=True)
        }
        picks: list[_Pick] = []
        for demand, session in placed:
            ticket = ticket_of[session.worker]
            # A cancellation may have come while the tickets were fetched.
            task = self._table.tasks.get(demand.task_id)
            if task is None or not self._may_claim(task):
                self._queue.drop(demand)
            elif ticket is None or not self._still_fits(demand, session, picks):
                self._queue.give_back(demand)
            else:
                picks.append(_Pick(task, demand, session, ticket))
        return picks

    def _may_claim(self, task: TaskRecord) -> bool:
        job = self._table.job_of(task.task_id)
        return (
            task.state is TaskState.QUEUED
            and not job.moving
            and not job.cancelled
            and not job.unschedulable
        )

    def _still_fits(
        self, demand: Demand, session: WorkerSession, picks: list[_Pick]
    ) -> bool:
        """Checks capacity again: a report may have shown a manual override."""
        free = self._fleet.free_on(session)
        for pick in picks:
            if pick.session is session:
                free -= pick.demand.resources
        return demand.resources.fits_in(free)

    async def _claim(self, picks: list[_Pick]) -> None:
        claims = []
        for pick in picks:
            attempt = Attempt(pick.task.attempt + 1)
            report = pick.session.report
            boot_id = report.boot_id if report else BootId('')
            pick.session.starts[pick.task.task_id] = TrackedStart(
                attempt, StartPhase.CLAIMING
            )
            claims.append(
                TaskClaimed(
                    pick.task.task_id,
                    attempt,
                    pick.session.worker,
                    boot_id,
                    pick.demand.resources,
                )
            )
        await self._committer.commit(*claims)

    async def _is_zone_in_service(self) -> bool:
        """Reads the zone's switch from the store, past the local replica."""
        key = zone_key(self._tenure.zone)
        read = await self._store.fetch(key)
        if isinstance(read, Err):
            _LOG.warning('no starts: the switch of the zone could not be read')
            return False
        entry = read.ok_value.first()
        if entry is not None:
            found = ConfigItem(key, entry.value, entry.mod_revision)
            self._replica.apply((found,), self._replica.revision)
        return self._replica.is_in_service(self._tenure.zone)

    def _requeue(self, picks: list[_Pick]) -> None:
        for pick in picks:
            self._not_started(pick)

    async def _start(self, pick: _Pick) -> bool:
        job = self._table.job_of(pick.task.task_id)
        if job.cancelled:
            self._not_started(pick)
            return False
        self._quarantine.note_sent(pick.session.worker)
        started = await pick.session.start(self._order(pick))
        return self._judge(pick, started)

    def _order(self, pick: _Pick) -> StartOrder:
        task = pick.task
        spec = self._table.job_of(task.task_id).spec
        return StartOrder(
            self._tenure.epoch,
            pick.ticket,
            TaskId(task.task_id),
            task.attempt,
            spec.kind,
            task.payload,
            task.reserved,
            task.checkpoint,
        )

    def _judge(self, pick: _Pick, started: Result[None, Failure | Refusal]) -> bool:
        if isinstance(started, Ok):
            return True
        error = started.err_value
        _LOG.info(
            'start of %s on %s: %s', pick.task.task_id, pick.session.worker, error
        )
        if isinstance(error, Refusal):
            if error.reason is RefusalReason.STALE_EPOCH:
                raise ShardLostError(f'worker has seen epoch {error.epoch}')
            self._note_refusal(pick, error)
            self._not_started(pick)
        elif error.verdict is Verdict.NOT_RUN:
            self._quarantine.note_not_run(pick.session.worker)
            self._not_started(pick)
        # Otherwise the outcome is unknown; a later report settles it.
        return False

    def _note_refusal(self, pick: _Pick, refusal: Refusal) -> None:
        if refusal.reason is RefusalReason.REFUSED:
            self._quarantine.note_failed(pick.session.worker)
        else:
            self._quarantine.note_not_run(pick.session.worker)

    def _not_started(self, pick: _Pick) -> None:
        job = self._table.job_of(pick.task.task_id)
        pick.session.starts.pop(pick.task.task_id, None)
        self._committer.commit(attempt_end.never_started(job, pick.task))
