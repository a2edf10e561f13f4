"""Finds the tasks that crash the workers on which they start."""

from collections.abc import Sequence
from typing import Final

from chiveworks.dispatch._probation import has_survived
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import Task

#: Number of lost workers in a row after which a task is given up.
CRASH_LIMIT: Final = 3


class CrashSuspicion:
    """Counts for each task the crashes of workers shortly after it was started.

    A crash ends all runs of a worker. Only those that it had not survived, or whose start
    was not confirmed, are suspects. As suspects start apart from other tasks, see
    `Probation`, a task that only shared a worker is soon cleared.

    Args:
        log: Event log for lost workers.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log

    def record_loss(self, worker: WorkerView, lost: Sequence[Task]) -> None:
        """Counts the loss of a worker against the suspects among its lost runs.

        A worker that restarted has crashed; one whose lease lapsed may have been cut
        off. The replacement of a worker that is draining is no crash.
        """
        if worker.info.draining or not lost:
            return
        suspects = [
            task for task in lost if task.sent and not has_survived(worker, task)
        ]
        for suspect in suspects:
            suspect.crashes += 1
        self._log.write(
            'worker_lost',
            worker=worker.worker_id,
            runs=len(lost),
            suspects=[(*each.ref, each.crashes) for each in suspects],
        )


def is_given_up(task: Task) -> bool:
    """Whether too many workers have crashed when a task was started."""
    return task.crashes >= CRASH_LIMIT
