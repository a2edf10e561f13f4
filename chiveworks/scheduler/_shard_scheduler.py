"""Scheduling loops of one shard during one tenure."""

import logging
from collections import defaultdict

from chiveworks.base import WorkerId
from chiveworks.instances import InstanceState
from chiveworks.jobs import (
    JobRecord,
    OverrideClosed,
    OwnerReleased,
    TaskEnded,
    TaskRecord,
)
from chiveworks.membership import TaskState
from chiveworks.placement import Quarantine
from chiveworks.scheduler._background_tasks import BackgroundTasks
from chiveworks.scheduler._job_closer import JobCloser
from chiveworks.scheduler._obsolete_overrides import obsolete_overrides
from chiveworks.scheduler._quotas import Quotas
from chiveworks.scheduler._session_manager import SessionManager
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.scheduler._start_round import StartRound
from chiveworks.scheduler._work_queue import WorkQueue
from chiveworks.scheduler._zone_evacuation import ZoneEvacuation

_LOG = logging.getLogger(__name__)


class ShardScheduler:
    """Runs the rounds of starts and the evacuation of the zone."""

    def __init__(
        self,
        context: ShardContext,
        queue: WorkQueue,
        quarantine: Quarantine,
        session_manager: SessionManager,
        closer: JobCloser,
        evacuation: ZoneEvacuation,
        start_round: StartRound,
        background: BackgroundTasks,
        quotas: Quotas,
    ) -> None:
        self._context = context
        self._queue = queue
        self._quarantine = quarantine
        self._session_manager = session_manager
        self._closer = closer
        self._evacuation = evacuation
        self._start_round = start_round
        self._background = background
        self._quotas = quotas
        self._metrics = context.metrics
        self._evicting: set[WorkerId] = set()

    def start(self) -> None:
        """Starts the scheduling loops; the group committer runs separately."""
        self._background.start(self._run_rounds())
        self._background.start(self._run_evacuation())

    async def release(self) -> None:
        """Stops all loops and journals that this owner renews no leases any more."""
        await self._background.stop()
        tenure = self._context.tenure
        held_for = self._context.clock.monotonic() - tenure.started
        # A predecessor may still be renewing worker leases. A successor that found
        # this owner released would not wait for those leases.
        former_leases_lapsed = held_for > self._context.timings.predecessor_lease_bound
        if tenure.predecessor_released or former_leases_lapsed:
            await self._context.committer.commit(OwnerReleased(tenure.epoch))
        else:
            await self._context.committer.barrier()

    def stop_job(self, job: JobRecord) -> None:
        """Asks the workers to stop a cancelled job's running tasks.

        A stop without effect is sent again when a report lists the run.
        """
        for task in job.tasks:
            if task.is_active:
                self._background.start(
                    self._session_manager.stop_task(task, checkpoint=False)
                )

    def note_change(self, change: object) -> None:
        """Handles a change of the table; called by the group committer."""
        self._queue.observe(change)
        self._closer.note_change(change)
        if not isinstance(change, TaskEnded):
            return
        worker = self._context.table.tasks[change.task_id].worker
        if change.state is TaskState.FINISHED:
            self._quarantine.note_succeeded(worker)
        elif change.failures:
            self._quarantine.note_failed(worker)

    async def _run_rounds(self) -> None:
        while True:
            self._session_manager.update()
            self._close_obsolete_overrides()
            self._quarantine.resize(len(self._session_manager.sessions))
            self._quotas.refresh()
            self._closer.refuse_oversized()
            self._closer.close_ended()
            await self._start_round.run(self._session_manager.sessions)
            self._metrics.record_queue_length('tasks', len(self._queue))
            await self._context.clock.sleep(self._context.timings.commit_tick)

    def _tasks_on_leaving_workers(self) -> tuple[TaskRecord, ...]:
        """Returns the resumable tasks on workers that the platform is removing."""
        table = self._context.table
        return tuple(
            task
            for session in self._session_manager.sessions.values()
            if session.instance.state is InstanceState.LEAVING
            for task in table.active_on(session.worker)
            if table.job_of(task.task_id).spec.resumable
        )

    def _close_obsolete_overrides(self) -> None:
        for override_id in obsolete_overrides(self._context.table):
            _LOG.info('closing override %s, which no longer applies', override_id)
            self._context.committer.commit(OverrideClosed(override_id))

    def _start_evictions(self) -> None:
        """Evicts tasks: workers in parallel, the tasks of a worker one by one."""
        by_worker: dict[WorkerId, list[TaskRecord]] = defaultdict(list)
        for task in self._evacuation.tasks_to_evict():
            by_worker[task.worker].append(task)
        for task in self._tasks_on_leaving_workers():
            by_worker[task.worker].append(task)
        for worker, tasks in by_worker.items():
            if worker not in self._evicting:
                self._evicting.add(worker)
                self._background.start(self._evict(worker, tasks))

    async def _evict(self, worker: WorkerId, tasks: list[TaskRecord]) -> None:
        try:
            for task in tasks:
                if task.worker != worker:
                    # The attempt here has ended and the task runs on another worker.
                    continue
                if task.is_active and task.state is not TaskState.STOPPING:
                    job = self._context.table.job_of(task.task_id)
                    self._metrics.count_eviction(job.tenant, 'zone')
                await self._session_manager.stop_task(task, checkpoint=True)
        finally:
            self._evicting.discard(worker)

    async def _run_evacuation(self) -> None:
        while True:
            self._start_evictions()
            await self._evacuation.move_jobs()
            await self._context.clock.sleep(self._context.timings.commit_tick)
