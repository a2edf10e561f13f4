"""Model of jobs, their steps and tasks, and of their progress."""

from chiveworks.workflow._codec import (
    decode_counts,
    decode_final_owner,
    decode_record,
    encode_counts,
    encode_final_state,
    encode_progress,
    encode_submission,
    encode_tombstone,
    restore_progress,
)
from chiveworks.workflow._job import Job, JobState
from chiveworks.workflow._job_owner import JobOwner
from chiveworks.workflow._job_spec import STEP_LIMIT, JobSpec, Submission
from chiveworks.workflow._lapsed_run import LapsedRun
from chiveworks.workflow._queue_policy import MAX_STRETCH, QueuePolicy
from chiveworks.workflow._recurrence import Recurrence
from chiveworks.workflow._step_duration import StepDuration
from chiveworks.workflow._step_run import StepRun
from chiveworks.workflow._step_spec import StepSpec
from chiveworks.workflow._task import UNKNOWN_PACE, Task, TaskRef, TaskState
from chiveworks.workflow._tombstone import Tombstone

__all__ = (
    'MAX_STRETCH',
    'STEP_LIMIT',
    'UNKNOWN_PACE',
    'Job',
    'JobOwner',
    'JobSpec',
    'JobState',
    'LapsedRun',
    'QueuePolicy',
    'Recurrence',
    'StepDuration',
    'StepRun',
    'StepSpec',
    'Submission',
    'Task',
    'TaskRef',
    'TaskState',
    'Tombstone',
    'decode_counts',
    'decode_final_owner',
    'decode_record',
    'encode_counts',
    'encode_final_state',
    'encode_progress',
    'encode_submission',
    'encode_tombstone',
    'restore_progress',
)
