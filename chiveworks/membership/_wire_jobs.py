"""Conversion of jobs and tasks to and from protobuf."""

from typing import Any

from chiveworks.base import Attempt, JobId, TaskId, TenantName, WorkerId, ZoneName
from chiveworks.membership import peer_pb2
from chiveworks.membership._enum_codec import EnumCodec
from chiveworks.membership._job_state import JobState
from chiveworks.membership._job_view import JobView
from chiveworks.membership._task_state import TaskState
from chiveworks.membership._task_view import TaskView

JOB_STATES = EnumCodec(JobState, peer_pb2.JobState, 'JOB_STATE_')
TASK_STATES = EnumCodec(TaskState, peer_pb2.TaskState, 'TASK_STATE_')


def job_to_wire(job: JobView) -> Any:
    """Converts a job to protobuf."""
    return peer_pb2.JobView(
        job_id=job.job_id,
        tenant=job.tenant,
        key=job.key,
        state=JOB_STATES.encode(job.state),
        home=job.home,
        generation=job.generation,
        reason=job.reason,
        tasks=[task_to_wire(task) for task in job.tasks],
    )


def job_from_wire(message: Any) -> JobView:
    """Converts a job from protobuf.

    Raises:
        ValueError: A state is unknown to this version.
    """
    return JobView(
        job_id=JobId(message.job_id),
        tenant=TenantName(message.tenant),
        key=message.key,
        state=JOB_STATES.decode(message.state),
        home=ZoneName(message.home),
        generation=message.generation,
        reason=message.reason,
        tasks=tuple(task_from_wire(task) for task in message.tasks),
    )


def task_to_wire(task: TaskView) -> Any:
    """Converts a task to protobuf."""
    return peer_pb2.TaskView(
        task_id=task.task_id,
        state=TASK_STATES.encode(task.state),
        attempt=task.attempt,
        worker=task.worker,
        result=task.result,
    )


def task_from_wire(message: Any) -> TaskView:
    """Converts a task from protobuf.

    Raises:
        ValueError: The state is unknown to this version.
    """
    return TaskView(
        task_id=TaskId(message.task_id),
        state=TASK_STATES.decode(message.state),
        attempt=Attempt(message.attempt),
        worker=WorkerId(message.worker),
        result=message.result,
    )
