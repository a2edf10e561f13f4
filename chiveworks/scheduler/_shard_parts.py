"""Assembly of the components of a shard for one tenure."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from chiveworks.instances import Instance
from chiveworks.jobs import JobStore, TaskTable
from chiveworks.journal import Journal
from chiveworks.placement import ProtectionPolicy, Quarantine, TaskQueue, queue_orders
from chiveworks.scheduler._background_tasks import BackgroundTasks
from chiveworks.scheduler._copy_search import CopySearch
from chiveworks.scheduler._fleet import Fleet
from chiveworks.scheduler._group_committer import GroupCommitter
from chiveworks.scheduler._job_closer import JobCloser
from chiveworks.scheduler._job_registrar import JobRegistrar
from chiveworks.scheduler._override_resolver import OverrideResolver
from chiveworks.scheduler._quotas import Quotas
from chiveworks.scheduler._reconcile import Reconciler
from chiveworks.scheduler._service_protection import ServiceProtection
from chiveworks.scheduler._session_manager import ReportHandler, SessionManager
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.scheduler._shard_environment import ShardEnvironment
from chiveworks.scheduler._shard_scheduler import ShardScheduler
from chiveworks.scheduler._shard_service import ShardService
from chiveworks.scheduler._start_round import StartRound
from chiveworks.scheduler._tenure import Tenure
from chiveworks.scheduler._timings import SchedulerTimings
from chiveworks.scheduler._work_queue import WorkQueue
from chiveworks.scheduler._worker_session import WorkerSession
from chiveworks.scheduler._zone_evacuation import ZoneEvacuation

_MS = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class ShardParts:
    """The scheduler and the handler of shard calls."""

    scheduler: ShardScheduler
    service: ShardService


def assemble_shard(
    environment: ShardEnvironment,
    tenure: Tenure,
    table: TaskTable,
    journal: Journal,
    group: asyncio.TaskGroup,
) -> ShardParts:
    """Builds the components of a shard around a replayed table.

    Args:
        environment: Services of the entry process.
        tenure: The new tenure.
        table: State replayed from the journal.
        journal: The opened journal.
        group: Task group of the tenure.
    """
    context = _create_context(environment, tenure, table, journal)
    background = BackgroundTasks(group)
    quarantine = Quarantine(environment.clock, len(environment.list_workers()))
    order = queue_orders.create(environment.queue_order)
    task_queue = TaskQueue(order)
    fleet = Fleet(
        table,
        environment.replica,
        quarantine,
        environment.random,
        environment.load_of,
        environment.sizes,
        environment.list_workers,
    )
    queue = WorkQueue(task_queue, table, environment.clock, fleet.size_of)
    queue.load()
    timings = environment.timings

    def open_session(instance: Instance, on_report: ReportHandler) -> WorkerSession:
        return WorkerSession(
            instance,
            environment.connect_worker(instance),
            tenure,
            environment.clock,
            timings,
            tenure.started + _longest_former_lease(tenure, timings),
            on_report,
        )

    session_manager = SessionManager(
        context,
        Reconciler(table, timings.ticket_max_age // _MS),
        background,
        open_session,
        environment.list_workers,
        lambda: len(queue) > 0,
    )
    session_manager.add_observer(environment.on_report)
    session_manager.add_observer(
        ServiceProtection(
            context,
            ProtectionPolicy(environment.clock),
            session_manager,
            background,
            environment.estimator,
            environment.tolerated_slowdown,
        ).observe
    )
    closer = JobCloser(context, fleet, background, environment.list_workers)
    closer.load()
    scheduler = ShardScheduler(
        context,
        queue,
        quarantine,
        session_manager,
        closer,
        ZoneEvacuation(context, environment.shards, environment.zones),
        StartRound(context, queue, fleet, environment.policy, quarantine),
        background,
        Quotas(environment.replica, task_queue, environment.zones),
    )
    context.committer.register_listener(scheduler.note_change)
    group.create_task(context.committer.run())
    service = ShardService(
        context,
        JobRegistrar(context, scheduler.stop_job),
        OverrideResolver(
            context,
            environment.editor,
            fleet,
            CopySearch(environment.shards, environment.zone, environment.zones),
            session_manager.sessions,
        ),
        quarantine,
        session_manager.workers,
    )
    return ShardParts(scheduler, service)


def _longest_former_lease(tenure: Tenure, timings: SchedulerTimings) -> timedelta:
    """Returns for how long worker leases renewed by a former owner may still last."""
    if tenure.predecessor_released:
        return timings.lease_bound
    return timings.predecessor_lease_bound


def _create_context(
    environment: ShardEnvironment, tenure: Tenure, table: TaskTable, journal: Journal
) -> ShardContext:
    tick = environment.timings.commit_tick
    return ShardContext(
        tenure=tenure,
        table=table,
        committer=GroupCommitter(journal, table, environment.clock, tick),
        store=environment.store,
        job_store=JobStore(environment.store),
        replica=environment.replica,
        clock=environment.clock,
        random=environment.random,
        timings=environment.timings,
        metrics=environment.metrics,
    )
