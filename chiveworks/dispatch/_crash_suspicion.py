"""Finds the tasks that crash the workers on which they start."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._lapsed_lease import LapsedLease
from chiveworks.dispatch._probation import has_survived
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import LapsedRun, Task, TaskState

#: Number of crashed workers in a row after which a task is given up.
CRASH_LIMIT: Final = 3
#: Share and number of workers lost at about the same time above which a common cause,
#: such as a cut, is assumed. Both must be exceeded.
COMMON_CAUSE_SHARE: Final = 0.15
COMMON_CAUSE_COUNT: Final = 4
#: Maximum time between two losses of contact with such a cause. A lost worker is noticed
#: at its next poll, within about a second.
COMMON_CAUSE_WINDOW: Final = timedelta(seconds=1)
#: Time after the lapse of a lease within which the crash of the worker counts.
LAPSE_MEMORY: Final = timedelta(seconds=30)


class CrashSuspicion:
    """Counts for each task the crashes of workers shortly after it was started.

    A crash ends all runs of a worker. Only those that it had not survived, or whose start
    was not confirmed, are suspects. As suspects start apart from other tasks, see
    `Probation`, a task that only shared a worker is soon cleared.

    Args:
        clock: Source of time.
        log: Event log for crashed workers.
        workers: Workers by id.
    """

    def __init__(
        self, clock: Clock, log: EventLog, workers: Mapping[WorkerId, WorkerView]
    ) -> None:
        self._clock = clock
        self._log = log
        self._lapsed: dict[WorkerId, LapsedLease] = {}
        self._workers = workers

    def record_crash(self, worker: WorkerView, lost: Sequence[Task]) -> list[Task]:
        """Counts the crash of a worker against the suspects among its lost runs.

        Only another incarnation in its place shows that a worker has crashed: one whose
        lease lapsed may have been cut off. The replacement of a worker that is draining
        is no crash, and many workers that are lost together have a common cause.

        Returns:
            The suspects.
        """
        suspects = self._pop_lapsed(worker.worker_id) + self._suspects(worker, lost)
        for suspect in suspects:
            suspect.crashes += 1
        if lost or suspects:
            self._log.write(
                'worker_crashed',
                worker=worker.worker_id,
                runs=len(lost),
                suspects=[(*each.ref, each.crashes) for each in suspects],
            )
        return suspects

    def record_lapse(self, worker: WorkerView, lost: Sequence[Task]) -> None:
        """Keeps the suspects among the runs under which the lease of a worker lapsed.

        They count once it is known that the worker has crashed.
        """
        for task in self._suspects(worker, lost):
            task.lapsed = LapsedRun(
                worker.worker_id,
                worker.info.address,
                task.worker_born_ms,
                task.attempt,
            )
            self.resume(task.lapsed, task)

    def resume(self, lapsed: LapsedRun, task: Task) -> None:
        """Takes note of a lapsed run, which an earlier leader may have stored."""
        lease = LapsedLease(self._clock.monotonic(), [])
        self._lapsed.setdefault(lapsed.worker, lease).suspects.append(task)

    def record_return(self, worker: WorkerView, born_ms: int) -> list[Task]:
        """Clears the suspects of a lapse, or counts a crash that the return shows.

        Args:
            worker: Worker that responds after a silence.
            born_ms: Start time of the incarnation that responds; 0 when unknown.

        Returns:
            The suspects of a crash.
        """
        lease = self._lapsed.get(worker.worker_id)
        if lease is None:
            return []
        earlier = {task.lapsed.born_ms for task in lease.suspects if task.lapsed}
        if born_ms and not earlier & {0, born_ms}:
            return self.record_crash(worker, ())
        self._pop_lapsed(worker.worker_id)
        return []

    def is_unresolved(self, worker: WorkerView) -> bool:
        """Whether a lapse is recent of which it is not known if it was a crash."""
        lease = self._lapsed.get(worker.worker_id)
        if lease is None:
            return False
        if self._clock.monotonic() - lease.lapsed_at < LAPSE_MEMORY:
            return True
        self._pop_lapsed(worker.worker_id)
        return False

    def _suspects(self, worker: WorkerView, lost: Sequence[Task]) -> list[Task]:
        if worker.info.draining or self._have_common_cause(self._lost_with(worker)):
            return []
        return [
            task
            for task in lost
            if task.sent
            # An earlier leader may have seen it survive, but that is not known.
            and (is_of_earlier_life(task, worker) or not has_survived(worker, task))
        ]

    def _pop_lapsed(self, worker_id: WorkerId) -> list[Task]:
        """Forgets a lapse; returns the suspects that no later run has cleared."""
        lease = self._lapsed.pop(worker_id, None)
        suspects = []
        for task in lease.suspects if lease else ():
            lapsed = task.lapsed
            if lapsed is not None and lapsed.worker == worker_id:
                task.lapsed = None
                if not self._is_cleared(task, lapsed.attempt):
                    suspects.append(task)
        return suspects

    def _is_cleared(self, task: Task, attempt: int) -> bool:
        if task.state is TaskState.DONE or task.step_run.job.state.terminal:
            return True
        worker = self._workers.get(task.worker) if task.worker else None
        return (
            worker is not None and task.attempt > attempt and has_survived(worker, task)
        )

    def _lost_with(self, worker: WorkerView) -> int:
        """Returns how many workers were lost at about the same time as a worker.

        Workers that crashed one after the other, and are out of reach at the same time
        for that reason, have no common cause.
        """
        # A restart may be noticed without a loss of contact.
        lease = worker.lease
        lost_at = lease.observed_at if worker.live else lease.lost_at
        losses = (each.lease.lost_at for each in self._workers.values())
        return sum(
            abs(loss - (lost_at or lease.observed_at)) <= COMMON_CAUSE_WINDOW
            for loss in losses
            if loss is not None
        )

    def _have_common_cause(self, lost_count: int) -> bool:
        limit = max(COMMON_CAUSE_COUNT, COMMON_CAUSE_SHARE * len(self._workers))
        return lost_count > limit


def is_of_earlier_life(task: Task, worker: WorkerView) -> bool:
    """Whether a run was claimed for an incarnation of the worker that is gone."""
    return task.worker_born_ms not in {0, worker.born_ms}


def is_given_up(task: Task) -> bool:
    """Whether too many workers have crashed when a task was started."""
    return task.crashes >= CRASH_LIMIT
