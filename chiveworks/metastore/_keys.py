"""Keys of the scheduler's data in the metadata store."""

from typing import Final

from chiveworks.base import JobId

#: Leader key, bound to the store lease of the leading process.
LEADER_PREFIX: Final = 'chiveworks/leader/'
LEADER_KEY: Final = 'chiveworks/leader/holder'
#: Processor time of the fastest process that has ever registered, in cores.
SPEED_KEY: Final = 'chiveworks/leader/speed'
#: Value of the leader key of the term that a faster process asks to end.
CHALLENGE_KEY: Final = 'chiveworks/leader/challenge'
#: Shapes of the workers as the leader has seen them. It is under the prefix that all
#: processes watch for the election.
CAPACITY_KEY: Final = 'chiveworks/leader/capacity'
#: Written by every transaction of the leader, each of which expects the revision
#: written by the one before it.
SEQUENCE_KEY: Final = 'chiveworks/sequence'
#: Submission or terminal state of each job, one key per job.
JOB_PREFIX: Final = 'chiveworks/jobs/'
#: Progress of jobs that have not ended, one key per job.
PROGRESS_PREFIX: Final = 'chiveworks/progress/'
#: Number of pending jobs, of which no task has begun yet, by queue.
PENDING_KEY: Final = 'chiveworks/pending'
#: Times until the leases of workers that are out of reach have lapsed, by worker.
LEASES_KEY: Final = 'chiveworks/leases'
#: Ages of waiting jobs, quarantines and stalls, for the next leader.
HANDOVER_KEY: Final = 'chiveworks/handover'
#: Model of the interference between images, learned by the leader.
PRESSURE_KEY: Final = 'chiveworks/pressure'


def job_key(job_id: JobId) -> str:
    """Returns the key of a job's record."""
    return JOB_PREFIX + job_id


def progress_key(job_id: JobId) -> str:
    """Returns the key of a job's progress."""
    return PROGRESS_PREFIX + job_id
