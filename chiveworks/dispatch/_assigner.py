"""Claims workers for the waiting tasks that may start."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock
from chiveworks.dispatch._account_gate import AccountGate
from chiveworks.dispatch._advice import TicketCache
from chiveworks.dispatch._job_table import JobTable
from chiveworks.dispatch._near_waits import NearWaits
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._ranking import Ranking
from chiveworks.dispatch._run_lateness import RunLateness
from chiveworks.dispatch._share_order import ShareOrder
from chiveworks.dispatch._unplaced_steps import UnplacedSteps
from chiveworks.dispatch._urgency import by_urgency
from chiveworks.dispatch._wait_log import WaitLog, WaitReason
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import Job, StepRun, StepSpec, Task, TaskState

#: Time after which a round of assignment lets other work of the leader go on.
ROUND_BUDGET: Final = timedelta(milliseconds=60)
_MILLISECOND = timedelta(milliseconds=1)


class Assigner:
    """Claims workers for waiting tasks in the order of urgency.

    Args:
        clock: Source of time.
        log: Event log for claims and for lasting tasks that wait.
        table: Open jobs and their waiting steps.
        placer: Picks workers.
        service_of: Returns the service that currently runs a job's tasks.
        tickets: Tickets for queues with an external policy.
        gate: Holds back the tasks of accounts that have reached their limits.
        lateness: Expected durations of runs, by which tasks wait for near workers; None
            if none does.

    Attributes:
        unfinished: Whether steps are left to try by the next call.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        table: JobTable,
        placer: Placer,
        service_of: Callable[[Job], str],
        tickets: TicketCache,
        gate: AccountGate,
        lateness: RunLateness | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._table = table
        self._placer = placer
        self._service_of = service_of
        self._tickets = tickets
        self._gate = gate
        self._wait_log = WaitLog(clock, log, placer)
        self._near_waits = NearWaits(clock, log, placer, lateness or RunLateness())
        self._tried: set[StepRun] = set()
        # Steps with tasks for which they come again in the round.
        self._divided: set[StepRun] = set()
        self.unfinished = False

    def assign(self) -> list[Task]:
        """Claims workers for waiting tasks that fit; returns the tasks.

        A call ends after about `ROUND_BUDGET`, and the next one goes on with the steps
        that have not been tried. The load that this answers: a backlog of steps for
        which there is no room, each of which takes time to try on all workers.
        """
        now = self._clock.monotonic()
        claimed: list[Task] = []
        unplaced: defaultdict[str, UnplacedSteps] = defaultdict(UnplacedSteps)
        self._gate.refresh()
        self._near_waits.begin_round(continues=bool(self._tried))
        order = ShareOrder(
            by_urgency(self._table.ready, now),
            self._gate,
            self._service_of,
            self._placer.load_of,
        )
        for run in order:
            if run in self._tried:
                continue
            # A continued round must not begin with the same steps each time.
            if run in self._divided and order.postpone(run):
                continue
            if self._clock.monotonic() - now >= ROUND_BUDGET:
                self.unfinished = True
                return claimed
            self._tried.add(run)
            claimed.extend(self._try_run(run, order, unplaced))
        self._wait_log.retain(self._table.ready)
        self._near_waits.end_round(self._table.ready)
        self._tried.clear()
        self._divided.clear()
        self.unfinished = False
        return claimed

    def _try_run(
        self,
        run: StepRun,
        order: ShareOrder,
        unplaced: defaultdict[str, UnplacedSteps],
    ) -> list[Task]:
        """Claims workers for the tasks of a step, unless they certainly do not fit."""
        if self._gate.blocks(run):
            # Most waiting steps may be blocked, and only lasting ones are logged.
            if run.spec.long_running and run.waiting():
                self._pass_over_blocked(run)
            return []
        waiting = run.waiting()
        if not waiting:
            self._table.ready.pop(run, None)
            return []
        waiting = self._within_limit(run, waiting)
        if not waiting:
            self._pass_over_blocked(run)
            return []
        allowed = len(waiting)
        waiting = order.first(run, waiting)
        if len(waiting) < allowed:
            # The step comes again for the other tasks.
            self._tried.discard(run)
            self._divided.add(run)
        service = self._service_of(run.job)
        if _cannot_fit(
            run, unplaced[service].relevant(may_wait=self._may_wait(waiting))
        ):
            # Reserved resources are available whether or not other tasks fit.
            waiting = [task for task in waiting if self._placer.reservation_ready(task)]
        if waiting:
            return self._assign_contained(run, waiting, service, unplaced[service])
        self._near_waits.leave(run, service)
        self._wait_log.passed_over(run, service, WaitReason.SMALLER_DID_NOT_FIT)
        return []

    def _within_limit(self, run: StepRun, waiting: list[Task]) -> list[Task]:
        """Returns the tasks that the limit of their account permits to start."""
        if not run.job.account:
            return waiting
        for task in waiting:
            if task.reserved_worker is not None and not self._gate.permits(task):
                self._placer.free_reservation(task)
        waiting.sort(key=_search_order)
        return self._gate.startable(run, waiting)

    def _pass_over_blocked(self, run: StepRun) -> None:
        service = self._service_of(run.job)
        self._wait_log.passed_over(run, service, WaitReason.ACCOUNT_LIMIT)

    def candidates(self, run: StepRun) -> list[WorkerView]:
        """Returns the workers on which tasks of a step may start; ignores capacity."""
        workers = self._placer.candidates(run, self._service_of(run.job))
        if run.job.queue.advised:
            return self._tickets.allowed(run, workers)
        return workers

    def smallest_interrupted(self) -> StepSpec | None:
        """Returns the smallest lasting step that waits for room after a run has ended.

        Tasks with a reservation and steps that no worker may run are not considered.
        """
        interrupted = (
            run.spec
            for run in self._table.ready
            if run.interrupted_at is not None
            and not self._gate.blocks(run)
            and any(map(_lacks_room, run.waiting()))
            and self.candidates(run)
        )
        return min(interrupted, key=_cpu_millicores, default=None)

    def _assign_contained(
        self,
        run: StepRun,
        waiting: list[Task],
        service: str,
        unplaced: UnplacedSteps,
    ) -> list[Task]:
        """Assigns a step; after an unexpected error it waits for the next term."""
        try:
            return self._assign_run(run, waiting, service, unplaced)
        except Exception as error:
            self._log.write(
                'step_failed',
                job=run.job.job_id,
                occurrence=run.occurrence,
                step=run.step,
                error=repr(error),
            )
        self._undo_claims([task for task in waiting if task.state is TaskState.CLAIMED])
        self._table.ready.pop(run, None)
        return []

    def _assign_run(
        self,
        run: StepRun,
        waiting: list[Task],
        service: str,
        unplaced: UnplacedSteps,
    ) -> list[Task]:
        if run.spec.gang:
            if len(waiting) < run.spec.count:
                # Some members of the previous run have not ended yet.
                self._wait_log.passed_over(run, service, WaitReason.GANG_NOT_ENDED)
                return []
            run.share_checkpoint()
        candidates = self.candidates(run)
        # A task without a reservation that does not fit ends the search for its step.
        waiting.sort(key=_search_order)
        claimed = self._claim_in_groups(run, waiting, candidates)
        left = run.waiting()
        failed = _failed(waiting) if run.job.account else left
        if failed:
            self._leave(run, failed, candidates, service, unplaced)
        elif left:
            self._pass_over_held_back(run)
        else:
            self._table.ready.pop(run, None)
        for task in claimed:
            self._log_claim(task)
        return claimed

    def _leave(
        self,
        run: StepRun,
        failed: list[Task],
        candidates: list[WorkerView],
        service: str,
        unplaced: UnplacedSteps,
    ) -> None:
        """Takes note that tasks of a step did not get a worker in this round."""
        deferred = self._near_waits.leave(run, service)
        reason = WaitReason.NEAR_ROOM if deferred else WaitReason.NO_CAPACITY
        self._wait_log.passed_over(run, service, reason, candidates)
        if deferred:
            # A remote worker has room for the tasks that wait for a near one.
            return
        if run.job.queue.advised:
            self._tickets.request_more(run, self._placer.candidates(run, service))
        if _unconstrained(run) and any(map(self._placer.searches_all, failed)):
            unplaced.add(run.spec, may_wait=self._may_wait(failed))

    def _pass_over_held_back(self, run: StepRun) -> None:
        # A step that comes again in this round is held back by a share so far.
        if run in self._tried:
            self._pass_over_blocked(run)

    def _claim_in_groups(
        self, run: StepRun, waiting: list[Task], candidates: list[WorkerView]
    ) -> list[Task]:
        if self._near_waits.groups.include(run.spec):
            return self._claim_near_group(run, waiting, candidates)
        groups = self._groups(run, candidates)
        return self._claim_in_first(run, waiting, candidates, groups)

    def _claim_near_group(
        self, run: StepRun, waiting: list[Task], candidates: list[WorkerView]
    ) -> list[Task]:
        """Claims one near rack for all tasks of a group, or any workers, or waits.

        While a group other than a gang waits for a rack, it takes what is free there.
        """
        near_racks = self._near_waits.groups.near_racks(run, candidates)
        near_racks.sort(key=_claimed_share)
        for rack in near_racks:
            claimed = self._claim_all(waiting, rack, all_or_nothing=True)
            if claimed:
                return claimed
        if any(map(_is_apart, waiting)):
            self._near_waits.note_retry(run)
        other_groups = [candidates]
        if run.spec.data_rack:
            other_groups = self._groups(run, candidates)
        claimed = self._claim_in_first(run, waiting, candidates, other_groups)
        workers = [
            worker for task in claimed if (worker := self._placer.worker_of(task))
        ]
        if not self._near_waits.groups.may_wait(run, workers, near_racks):
            return claimed
        # The forecast must not count these claims.
        self._undo_claims(claimed)
        awaited = self._near_waits.groups.rack_to_wait_for(
            run, len(waiting), workers, near_racks
        )
        if not awaited:
            for task, worker in zip(claimed, workers, strict=True):
                self._claim(task, worker)
            return claimed
        if run.spec.gang:
            return []
        return self._claim_all(waiting, awaited, all_or_nothing=False)

    def _claim_in_first(
        self,
        run: StepRun,
        waiting: list[Task],
        candidates: list[WorkerView],
        groups: list[list[WorkerView]],
    ) -> list[Task]:
        """Claims workers of the first group that has room."""
        for group in groups:
            all_or_nothing = run.spec.gang or group is not candidates
            claimed = self._claim_all(waiting, group, all_or_nothing=all_or_nothing)
            if claimed:
                return claimed
        return []

    def _groups(
        self, run: StepRun, candidates: list[WorkerView]
    ) -> list[list[WorkerView]]:
        """Returns the groups of workers to try, in order.

        Tightly coupled tasks try each rack by itself before all workers together.
        """
        if not run.spec.tightly_coupled:
            return [candidates]
        racks: defaultdict[str, list[WorkerView]] = defaultdict(list)
        for worker in candidates:
            racks[worker.info.rack].append(worker)
        return [*sorted(racks.values(), key=_claimed_share), candidates]

    def _claim_all(
        self, waiting: list[Task], workers: list[WorkerView], *, all_or_nothing: bool
    ) -> list[Task]:
        claimed = self._claim_each(waiting, workers)
        if all_or_nothing and len(claimed) < len(waiting):
            self._undo_claims(claimed)
            return []
        return claimed

    def _claim_each(self, waiting: list[Task], workers: list[WorkerView]) -> list[Task]:
        claimed: list[Task] = []
        ranked = waiting[0]
        ranking = self._placer.rank(ranked, workers)
        for task in waiting:
            if self._placer.may_wait(task) is not self._placer.may_wait(ranked):
                ranked = task
                ranking = self._placer.rank(ranked, workers)
            worker = self._choose(task, workers, ranking)
            if worker is None and not (task.reserved_worker or task.crashes):
                break
            if worker and not self._near_waits.defers(task, worker, workers):
                self._claim(task, worker)
                ranking.refresh(worker)
                claimed.append(task)
        return claimed

    def _claim(self, task: Task, worker: WorkerView) -> None:
        self._placer.free_reservation(task)
        task.claim(worker.worker_id, worker.born_ms, worker.info.address)
        worker.add(task)
        if task.crashes:
            self._placer.probation.begin(worker, task)

    def _choose(
        self, task: Task, workers: list[WorkerView], ranking: Ranking
    ) -> WorkerView | None:
        if _is_apart(task):
            self._near_waits.note_retry(task)
            return self._placer.choose(task, workers)
        return ranking.best(task)

    def _may_wait(self, waiting: list[Task]) -> bool:
        """Tells whether all waiting tasks of a filling step may wait for a worker."""
        if not waiting[0].spec.fills:
            return False
        return self._placer.may_wait(min(waiting, key=_waiting_since))

    def _log_claim(self, task: Task) -> None:
        worker = self._placer.worker_of(task)
        job = task.step_run.job
        now = self._clock.monotonic()
        self._log.write(
            'task_claimed',
            job=task.ref.job_id,
            task=task.ref[1:],
            attempt=task.attempt,
            worker=task.worker,
            queue=job.queue.name,
            waited_ms=(now - job.seen_at) // _MILLISECOND,
            waiting_ms=(now - task.waiting_since) // _MILLISECOND,
            cpu_millicores=task.spec.demand.cpu_millicores,
            **job.account_fields,
            free_millicores=worker
            and worker.info.capacity.cpu_millicores - worker.allocated.cpu_millicores,
            **self._near_waits.claim_fields(task, worker),
        )

    def _undo_claims(self, claimed: list[Task]) -> None:
        for task in claimed:
            worker = self._placer.worker_of(task)
            if worker is not None:
                worker.remove(task)
            task.unclaim()


def _failed(tried: list[Task]) -> list[Task]:
    """Returns the tasks without a worker of those that an account may start now."""
    return [task for task in tried if task.state is TaskState.WAITING]


def _is_apart(task: Task) -> bool:
    """Whether workers are rated for a task by itself, not for its step."""
    return bool(task.reserved_worker or task.avoided_workers or task.crashes)


def _lacks_room(task: Task) -> bool:
    return bool(task.attempt) and task.reserved_worker is None


def _cpu_millicores(spec: StepSpec) -> int:
    return spec.demand.cpu_millicores


def _waiting_since(task: Task) -> timedelta:
    return task.waiting_since


def _search_order(task: Task) -> tuple[bool, timedelta]:
    return task.reserved_worker is None, task.waiting_since


def _claimed_share(workers: list[WorkerView]) -> float:
    """Returns the share of the workers' processors claimed by non-filling tasks."""
    capacity = sum(worker.info.capacity.cpu_millicores for worker in workers)
    return sum(worker.allocated.cpu_millicores for worker in workers) / max(capacity, 1)


def _unconstrained(run: StepRun) -> bool:
    """Whether only free capacity and the image decide where a step's tasks may run."""
    spec = run.spec
    special = (
        spec.required_label or spec.worker_limit or spec.gang or run.job.queue.advised
    )
    return not special


def _cannot_fit(run: StepRun, unplaced: Iterable[StepSpec]) -> bool:
    """Whether an equal or smaller task already failed to fit in this round.

    Filling tasks are compared with those of the same image only, since a filling task
    may be rejected because of its image alone.
    """
    spec = run.spec
    return any(
        other.fills is spec.fills
        and (not spec.fills or other.image == spec.image)
        and other.demand.fits_in(spec.demand)
        for other in unplaced
    )
