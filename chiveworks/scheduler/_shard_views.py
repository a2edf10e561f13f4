"""View of a shard's state for operators."""

from collections import Counter
from datetime import datetime, timedelta

from chiveworks.base import WorkerId
from chiveworks.jobs import TaskTable
from chiveworks.membership import JobCount, JobState, ShardView, TaskCount, TaskView
from chiveworks.scheduler._tenure import Tenure

#: Age, counted from their detection, up to which closed overrides are shown.
_PAST_OVERRIDE_MAX_AGE = timedelta(days=1)


def describe_shard(
    tenure: Tenure,
    table: TaskTable,
    worker_count: int,
    quarantined: tuple[WorkerId, ...],
    *,
    is_out_of_service: bool,
    now: datetime,
) -> ShardView:
    """Returns counts, overrides, remaining tasks and jobs with unknown outcome."""
    counts = Counter(task.state for task in table.tasks.values())
    jobs = Counter(job.state for job in table.jobs.values())
    return ShardView(
        tenure.zone,
        tenure.owner,
        tenure.epoch,
        tuple(TaskCount(state, count) for state, count in sorted(counts.items())),
        worker_count,
        quarantined,
        tuple(one.view(tenure.zone) for one in table.overrides.values()),
        tuple(
            job.view()
            for job in table.jobs.values()
            if job.state is JobState.OUTCOME_UNKNOWN
        ),
        _remaining_tasks(table) if is_out_of_service else (),
        tuple(JobCount(state, count) for state, count in sorted(jobs.items())),
        tuple(
            one.view(tenure.zone)
            for one in table.past_overrides.values()
            if now - one.since < _PAST_OVERRIDE_MAX_AGE
        ),
    )


def _remaining_tasks(table: TaskTable) -> tuple[TaskView, ...]:
    """Returns the active tasks that an evacuation of the zone does not evict."""
    return tuple(
        task.view()
        for task in table.active_tasks()
        if not table.job_of(task.task_id).spec.resumable
    )
