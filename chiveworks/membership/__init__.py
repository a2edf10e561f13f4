"""Communication between entry processes, and the spreading of configuration."""

from chiveworks.membership._failure_reason import FailureReason
from chiveworks.membership._job_registration import JobRegistration
from chiveworks.membership._job_state import JobState
from chiveworks.membership._job_submission import JobSubmission
from chiveworks.membership._job_transfer import JobTransfer
from chiveworks.membership._job_view import JobView
from chiveworks.membership._override_action import OverrideAction
from chiveworks.membership._override_kind import OverrideKind
from chiveworks.membership._override_resolution import OverrideResolution
from chiveworks.membership._override_view import OverrideView
from chiveworks.membership._shard_failure import ShardFailure, reason_of
from chiveworks.membership._shard_handler import ShardHandler
from chiveworks.membership._shard_view import ShardView
from chiveworks.membership._task_count import TaskCount
from chiveworks.membership._task_state import TaskState
from chiveworks.membership._task_view import TaskView

__all__ = (
    'FailureReason',
    'JobRegistration',
    'JobState',
    'JobSubmission',
    'JobTransfer',
    'JobView',
    'OverrideAction',
    'OverrideKind',
    'OverrideResolution',
    'OverrideView',
    'ShardFailure',
    'ShardHandler',
    'ShardView',
    'TaskCount',
    'TaskState',
    'TaskView',
    'reason_of',
)
