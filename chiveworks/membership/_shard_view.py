"""Shard state for operators."""

from dataclasses import dataclass

from chiveworks.base import EntryId, Epoch, WorkerId, ZoneName
from chiveworks.membership._job_count import JobCount
from chiveworks.membership._job_view import JobView
from chiveworks.membership._override_view import OverrideView
from chiveworks.membership._task_count import TaskCount
from chiveworks.membership._task_view import TaskView


@dataclass(frozen=True, slots=True)
class ShardView:
    """State of one zone's shard.

    Attributes:
        zone: Zone of the shard.
        owner: Entry process that schedules the shard.
        epoch: The owner's fencing token.
        task_counts: Number of tasks by state; states without tasks may be omitted.
        workers: Number of workers.
        quarantined_workers: Workers on which no tasks are started for now.
        overrides: Open manual overrides.
        past_overrides: Closed overrides that were detected in the last day.
        unknown_outcomes: Jobs in the state "outcome unknown".
        remaining_tasks: While the zone is out of service, the tasks that run to
            completion there because they cannot be evicted.
        job_counts: Number of open and retained ended jobs by state.
    """

    zone: ZoneName
    owner: EntryId
    epoch: Epoch
    task_counts: tuple[TaskCount, ...] = ()
    workers: int = 0
    quarantined_workers: tuple[WorkerId, ...] = ()
    overrides: tuple[OverrideView, ...] = ()
    unknown_outcomes: tuple[JobView, ...] = ()
    remaining_tasks: tuple[TaskView, ...] = ()
    job_counts: tuple[JobCount, ...] = ()
    past_overrides: tuple[OverrideView, ...] = ()
