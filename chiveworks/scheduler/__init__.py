"""Schedules batch tasks on the workers of a zone; run by the owner of its shard."""

from chiveworks.scheduler._group_committer import GroupCommitter
from chiveworks.scheduler._reconcile import Reconciler
from chiveworks.scheduler._reconciliation import Reconciliation
from chiveworks.scheduler._shard_candidate import ShardCandidate
from chiveworks.scheduler._shard_environment import ShardEnvironment
from chiveworks.scheduler._shard_lease import ShardLease
from chiveworks.scheduler._shard_lost_error import ShardLostError
from chiveworks.scheduler._tenure import Tenure
from chiveworks.scheduler._timings import SchedulerTimings
from chiveworks.scheduler._worker_session import WorkerSession

__all__ = (
    'GroupCommitter',
    'Reconciler',
    'Reconciliation',
    'SchedulerTimings',
    'ShardCandidate',
    'ShardEnvironment',
    'ShardLease',
    'ShardLostError',
    'Tenure',
    'WorkerSession',
)
