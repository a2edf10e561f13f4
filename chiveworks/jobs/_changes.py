"""Changes of a shard's state, as written to the journal.

They share one module because they form a closed union, which the journal encodes
and `TaskTable` applies.
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
    """An owner acquired the shard and may renew workers' leases from now on."""

    owner: str
    epoch: Epoch
    type: Literal['owner_started'] = 'owner_started'


@dataclass(frozen=True, slots=True)
class OwnerReleased:
    """The last owner released the shard and no longer renews workers' leases."""

    epoch: Epoch
    type: Literal['owner_released'] = 'owner_released'


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job was added to the shard, in the state given by its record."""

    job: JobRecord
    type: Literal['job_accepted'] = 'job_accepted'


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A cancellation was accepted; queued and held tasks are cancelled at once."""

    job_id: JobId
    type: Literal['job_cancelled'] = 'job_cancelled'


@dataclass(frozen=True, slots=True)
class JobUnschedulable:
    """No worker has enough capacity for one of the job's tasks."""

    job_id: JobId
    reason: str
    type: Literal['job_unschedulable'] = 'job_unschedulable'


@dataclass(frozen=True, slots=True)
class JobMoving:
    """A move of the job to another zone began; its tasks are not started here."""

    job_id: JobId
    type: Literal['job_moving'] = 'job_moving'


@dataclass(frozen=True, slots=True)
class JobStayed:
    """A move was abandoned; the job keeps its zone under a new generation."""

    job_id: JobId
    generation: int
    type: Literal['job_stayed'] = 'job_stayed'


@dataclass(frozen=True, slots=True)
class JobDropped:
    """The job was removed from the shard; its store record is authoritative."""

    job_id: JobId
    type: Literal['job_dropped'] = 'job_dropped'


@dataclass(frozen=True, slots=True)
class TaskClaimed:
    """An attempt was assigned to a worker, with `reserved` reserved for it there."""

    task_id: TaskId
    attempt: Attempt
    worker: WorkerId
    boot_id: BootId
    reserved: Resources
    type: Literal['task_claimed'] = 'task_claimed'


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """An attempt is known to have ended, or known never to have started.

    Attributes:
        state: `queued` if another attempt may follow, else the final state or
            `held`.
        failures: Number of attempts of the task that have failed so far.
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
    """A held task was requeued (`queued`) or abandoned (`cancelled`)."""

    task_id: TaskId
    state: TaskState
    type: Literal['task_released'] = 'task_released'


@dataclass(frozen=True, slots=True)
class TaskMoved:
    """The running attempt was moved to another worker manually."""

    task_id: TaskId
    worker: WorkerId
    boot_id: BootId
    type: Literal['task_moved'] = 'task_moved'


@dataclass(frozen=True, slots=True)
class TaskResized:
    """The resources reserved for the running attempt were changed."""

    task_id: TaskId
    reserved: Resources
    type: Literal['task_resized'] = 'task_resized'


@dataclass(frozen=True, slots=True)
class OverrideNoted:
    """A manual override was detected."""

    override: OverrideRecord
    type: Literal['override_noted'] = 'override_noted'


@dataclass(frozen=True, slots=True)
class OverrideClosed:
    """An override was adopted or reverted, or no longer applies.

    Attributes:
        outcome: How it ended, shown in the list of past overrides.
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
    """Encodes a change for the journal."""
    return _ADAPTER.dump_json(change, exclude_defaults=False)


def decode_change(stored: bytes) -> Change:
    """Decodes a change from the journal."""
    return _ADAPTER.validate_json(stored)
