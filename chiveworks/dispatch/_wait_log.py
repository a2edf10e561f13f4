"""Log of the lasting tasks that wait, with the reason."""

import enum
from collections.abc import Container, Sequence
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock
from chiveworks.dispatch._placer import Placer, waits_for_target
from chiveworks.dispatch._room_checks import fits
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import StepRun, Task

#: Time that a task has waited before the log names it.
MIN_LOGGED_WAIT: Final = timedelta(seconds=1)
#: Minimum time between two lines about a step run.
LINE_INTERVAL: Final = timedelta(seconds=1)
#: Minimum time between two lines, so that a round writes one at most. A line looks at
#: all workers, and a longer round delays reports and lease renewals.
LINE_SPACING: Final = timedelta(milliseconds=40)
#: Time between two lines about a step run for each step run that waits, so that lines
#: are shared among all of them. Rounds may be 50 ms apart.
SHARED_INTERVAL: Final = timedelta(milliseconds=50)
_MILLISECOND: Final = timedelta(milliseconds=1)


class WaitReason(enum.Enum):
    """Why a round of assignment did not claim a worker for a waiting task."""

    SMALLER_DID_NOT_FIT = 'an equal or smaller step did not fit in this round'
    RESERVED_WORKER = 'waits for its reserved worker'
    NO_WORKERS = 'no worker accepts tasks'
    NO_CAPACITY = 'no worker has enough free capacity'
    NEAR_ROOM = 'waits for a worker near its data or its group'
    NO_TICKET = 'no ticket'
    GANG_NOT_ENDED = 'members of the gang have not ended'
    ACCOUNT_LIMIT = 'the account has reached its limit'


class WaitLog:
    """Logs why the tasks of lasting steps wait, for each step about once a second.

    If more than 20 steps wait, each is logged less often. Workers are looked at only in
    rounds in which a line is due.

    Args:
        clock: Source of time.
        log: Event log for the lines.
        placer: Tells which workers accept tasks.
    """

    def __init__(self, clock: Clock, log: EventLog, placer: Placer) -> None:
        self._clock = clock
        self._log = log
        self._placer = placer
        self._due_at: dict[StepRun, timedelta] = {}
        self._next_line_at = timedelta()

    def passed_over(
        self,
        run: StepRun,
        service: str,
        reason: WaitReason,
        permitted: Sequence[WorkerView] | None = None,
    ) -> None:
        """Logs that a round left tasks of a step waiting, if a line is due.

        Args:
            run: Step run with waiting tasks.
            service: Service that runs the job's tasks.
            reason: Why tasks were left; `NO_CAPACITY` is made more precise.
            permitted: Workers that were tried, if any were.
        """
        now = self._clock.monotonic()
        if not run.spec.long_running or now < self._next_line_at:
            return
        if now < self._due_at.get(run, now):
            return
        waiting = run.waiting()
        task = min(waiting, key=_waiting_since)
        due_at = task.waiting_since + MIN_LOGGED_WAIT
        if now <= due_at:
            self._due_at[run] = due_at
            return
        self._next_line_at = now + LINE_SPACING
        shared_interval = len(self._due_at) * SHARED_INTERVAL
        self._due_at[run] = now + max(LINE_INTERVAL, shared_interval)
        accepting = self._placer.candidates(run, service)
        if reason is WaitReason.NO_CAPACITY:
            reason = _refine(task, now, accepting, permitted)
        candidates = permitted or accepting
        self._log.write(
            'task_passed_over',
            job=task.ref.job_id,
            task=task.ref[1:],
            queue=run.job.queue.name,
            waiting=len(waiting),
            waited_ms=(now - task.waiting_since) // _MILLISECOND,
            reason=reason.value,
            cpu_millicores=run.spec.demand.cpu_millicores,
            **run.job.account_fields,
            **_reservation_fields(task, accepting),
            **_capacity_fields(run, candidates),
        )

    def retain(self, waiting: Container[StepRun]) -> None:
        """Drops the state of all step runs that no longer wait."""
        ended = [run for run in self._due_at if run not in waiting]
        for run in ended:
            self._due_at.pop(run)


def _refine(
    task: Task,
    now: timedelta,
    accepting: Sequence[WorkerView],
    permitted: Sequence[WorkerView] | None,
) -> WaitReason:
    """Returns why a task of a step that was tried did not get a worker."""
    if not accepting:
        return WaitReason.NO_WORKERS
    if task.step_run.job.queue.advised and not permitted:
        return WaitReason.NO_TICKET
    if waits_for_target(task, now):
        return WaitReason.RESERVED_WORKER
    return WaitReason.NO_CAPACITY


def _reservation_fields(
    task: Task, accepting: Sequence[WorkerView]
) -> dict[str, object]:
    """Returns the reserved worker; its capacity is None if it accepts no tasks."""
    if task.reserved_worker is None:
        return {}
    free = (
        _free_millicores(worker)
        for worker in accepting
        if worker.worker_id == task.reserved_worker
    )
    return {
        'reserved_worker': task.reserved_worker,
        'reserved_free_millicores': next(free, None),
    }


def _capacity_fields(
    run: StepRun, candidates: Sequence[WorkerView]
) -> dict[str, object]:
    spec = run.spec
    needed = spec.demand.cpu_millicores
    free = [_free_millicores(worker) for worker in candidates]
    fitting = [
        worker
        for worker, millicores in zip(candidates, free, strict=True)
        if (spec.fills or millicores >= needed) and fits(worker, spec)
    ]
    moving = [
        task.spec.demand.cpu_millicores
        for worker in candidates
        if worker.reservations
        for task in worker.reservations.values()
    ]
    return {
        'candidates': len(candidates),
        'fitting': len(fitting),
        'free_millicores': sum(free),
        'largest_free_millicores': max(free, default=0),
        'moving_millicores': sum(moving),
    }


def _free_millicores(worker: WorkerView) -> int:
    """Returns the processors neither claimed nor reserved; negative if exceeded."""
    return worker.info.capacity.cpu_millicores - worker.allocated.cpu_millicores


def _waiting_since(task: Task) -> timedelta:
    return task.waiting_since
