"""Finds the tasks that crash the workers on which they start."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Final

from chiveworks.base import WorkerId
from chiveworks.dispatch._probation import has_survived
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import Task

#: Number of lost workers in a row after which a task is given up.
CRASH_LIMIT: Final = 3
#: Share and number of workers lost at about the same time above which a common cause,
#: such as a cut, is assumed. Both must be exceeded.
COMMON_CAUSE_SHARE: Final = 0.15
COMMON_CAUSE_COUNT: Final = 4
#: Maximum time between two losses of contact with such a cause. A lost worker is noticed
#: at its next poll, within about a second.
COMMON_CAUSE_WINDOW: Final = timedelta(seconds=1)


class CrashSuspicion:
    """Counts for each task the crashes of workers shortly after it was started.

    A crash ends all runs of a worker. Only those that it had not survived, or whose start
    was not confirmed, are suspects. As suspects start apart from other tasks, see
    `Probation`, a task that only shared a worker is soon cleared.

    Args:
        log: Event log for lost workers.
        workers: Workers by id.
    """

    def __init__(self, log: EventLog, workers: Mapping[WorkerId, WorkerView]) -> None:
        self._log = log
        self._workers = workers

    def record_loss(self, worker: WorkerView, lost: Sequence[Task]) -> None:
        """Counts the loss of a worker against the suspects among its lost runs.

        A worker that restarted has crashed; one whose lease lapsed may have been cut
        off. The replacement of a worker that is draining is no crash, and many workers
        that are lost together have a common cause.
        """
        if not lost:
            return
        suspects = [
            task
            for task in lost
            if task.sent
            # An earlier leader may have seen it survive, but that is not known.
            and (is_of_earlier_life(task, worker) or not has_survived(worker, task))
        ]
        if worker.info.draining or self._have_common_cause(self._lost_with(worker)):
            suspects.clear()
        for suspect in suspects:
            suspect.crashes += 1
        self._log.write(
            'worker_lost',
            worker=worker.worker_id,
            runs=len(lost),
            suspects=[(*each.ref, each.crashes) for each in suspects],
        )

    def record_orphans(self, orphans: Sequence[Task], missing_count: int) -> None:
        """Counts the workers that are gone at the start of a term, as for a loss.

        Args:
            orphans: Runs on such workers whose leases have just lapsed.
            missing_count: Number of such workers, whether or not their leases have
                lapsed.
        """
        if self._have_common_cause(missing_count):
            return
        for task in orphans:
            task.crashes += 1

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
