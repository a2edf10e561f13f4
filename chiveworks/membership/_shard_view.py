"""A shard as shown to operators."""

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
        zone: The zone.
        owner: Entry process that schedules the shard.
        epoch: The owner's fencing token.
        task_counts: Tasks by state; states without tasks may be left out.
        workers: Number of workers.
        quarantined_workers: Workers that receive no starts for now.
        overrides: Open manual overrides.
        past_overrides: Those noted in the last day that are closed.
        unknown_outcomes: Jobs in the state "outcome unknown".
        remaining_tasks: While the zone is out, the tasks that run to completion
            there because they cannot be evicted.
        job_counts: Jobs by state: open ones, and ended ones that are still kept.
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
