"""Changes of a shard's state, as they are journalled.

They share this module because they form one closed union, which the journal
encodes and `TaskTable` applies.
"""

from dataclasses import dataclass
from typing import Annotated, Literal, Union

from pydantic import Field, TypeAdapter

from chiveworks.base import Attempt, BootId, Epoch, JobId, Resources, TaskId, WorkerId
from chiveworks.jobs._job_record import JobRecord
from chiveworks.jobs._override import OverrideRecord
from chiveworks.membership import TaskState


@dataclass(frozen=True, slots=True)
class OwnerStarted:
    """An owner has taken the shard and renews workers' leases from now on."""

    owner: str
    epoch: Epoch
    type: Literal['owner_started'] = 'owner_started'


@dataclass(frozen=True, slots=True)
class OwnerReleased:
    """No owner so far renews workers' leases any more."""

    epoch: Epoch
    type: Literal['owner_released'] = 'owner_released'


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job enters the shard with the state that it has at that moment."""

    job: JobRecord
    type: Literal['job_accepted'] = 'job_accepted'


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A cancellation was accepted; tasks that wait are cancelled at once."""

    job_id: JobId
    type: Literal['job_cancelled'] = 'job_cancelled'


@dataclass(frozen=True, slots=True)
class JobUnschedulable:
    """No worker can hold the job's tasks."""

    job_id: JobId
    reason: str
    type: Literal['job_unschedulable'] = 'job_unschedulable'


@dataclass(frozen=True, slots=True)
class JobMoving:
    """The job is about to get another home; its tasks don't start here."""

    job_id: JobId
    type: Literal['job_moving'] = 'job_moving'


@dataclass(frozen=True, slots=True)
class JobStayed:
    """A move was given up; the record has a new generation with this home."""

    job_id: JobId
    generation: int
    type: Literal['job_stayed'] = 'job_stayed'


@dataclass(frozen=True, slots=True)
class JobDropped:
    """The job's record in the store says all that is left to say."""

    job_id: JobId
    type: Literal['job_dropped'] = 'job_dropped'


@dataclass(frozen=True, slots=True)
class TaskClaimed:
    """An attempt may be started on a worker, which holds `reserved` for it."""

    task_id: TaskId
    attempt: Attempt
    worker: WorkerId
    boot_id: BootId
    reserved: Resources
    type: Literal['task_claimed'] = 'task_claimed'


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """An attempt has certainly ended or certainly never began.

    Attributes:
        state: `queued` if another attempt may follow, else the final state or
            `held`.
        failures: Runs of the task that ended with a failure so far.
    """

    task_id: TaskId
    attempt: Attempt
    state: TaskState
    result: str = ''
    checkpoint: str = ''
    failures: int = 0
    reason: str = ''
    type: Literal['task_ended'] = 'task_ended'


@dataclass(frozen=True, slots=True)
class TaskReleased:
    """A held task may run again (`queued`) or is given up (`cancelled`)."""

    task_id: TaskId
    state: TaskState
    type: Literal['task_released'] = 'task_released'


@dataclass(frozen=True, slots=True)
class TaskMoved:
    """The running attempt was moved to another worker by hand."""

    task_id: TaskId
    worker: WorkerId
    boot_id: BootId
    type: Literal['task_moved'] = 'task_moved'


@dataclass(frozen=True, slots=True)
class TaskResized:
    """The resources held for the running attempt were changed."""

    task_id: TaskId
    reserved: Resources
    type: Literal['task_resized'] = 'task_resized'


@dataclass(frozen=True, slots=True)
class OverrideNoted:
    """A manual override was noticed."""

    override: OverrideRecord
    type: Literal['override_noted'] = 'override_noted'


@dataclass(frozen=True, slots=True)
class OverrideClosed:
    """An override was adopted, reverted, or has ceased to exist.

    Attributes:
        outcome: What became of it, for the list of past overrides.
    """

    override_id: str
    outcome: str = 'it no longer applies'
    type: Literal['override_closed'] = 'override_closed'


Change = Annotated[
    Union[
        OwnerStarted,
        OwnerReleased,
        JobAccepted,
        JobCancelled,
        JobUnschedulable,
        JobMoving,
        JobStayed,
        JobDropped,
        TaskClaimed,
        TaskEnded,
        TaskReleased,
        TaskMoved,
        TaskResized,
        OverrideNoted,
        OverrideClosed,
    ],
    Field(discriminator='type'),
]

_ADAPTER: TypeAdapter[Change] = TypeAdapter(Change)


def encode_change(change: Change) -> bytes:
    """Returns the journalled form of a change."""
    return _ADAPTER.dump_json(change, exclude_defaults=False)


def decode_change(stored: bytes) -> Change:
    """Reads the journalled form of a change."""
    return _ADAPTER.validate_json(stored)
