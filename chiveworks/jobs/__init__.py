"""Job and task records, their state changes and the shard's task table."""

from chiveworks.jobs._changes import (
    Change,
    JobAccepted,
    JobCancelled,
    JobDropped,
    JobMoving,
    JobStayed,
    JobUnschedulable,
    OverrideClosed,
    OverrideNoted,
    OwnerReleased,
    OwnerStarted,
    TaskClaimed,
    TaskEnded,
    TaskMoved,
    TaskReleased,
    TaskResized,
    decode_change,
    encode_change,
)
from chiveworks.jobs._identity import content_digest_of, job_id_of
from chiveworks.jobs._job_record import JobRecord, job_id_of_task, task_id_of
from chiveworks.jobs._job_store import JobStore, StoredJob
from chiveworks.jobs._override import OverrideRecord
from chiveworks.jobs._task_record import TaskRecord
from chiveworks.jobs._task_spec import TaskSpec
from chiveworks.jobs._task_table import InvalidChangeError, TaskTable

__all__ = (
    'Change',
    'InvalidChangeError',
    'JobAccepted',
    'JobCancelled',
    'JobDropped',
    'JobMoving',
    'JobRecord',
    'JobStayed',
    'JobStore',
    'JobUnschedulable',
    'OverrideClosed',
    'OverrideNoted',
    'OverrideRecord',
    'OwnerReleased',
    'OwnerStarted',
    'StoredJob',
    'TaskClaimed',
    'TaskEnded',
    'TaskMoved',
    'TaskRecord',
    'TaskReleased',
    'TaskResized',
    'TaskSpec',
    'TaskTable',
    'content_digest_of',
    'decode_change',
    'encode_change',
    'job_id_of',
    'job_id_of_task',
    'task_id_of',
)
