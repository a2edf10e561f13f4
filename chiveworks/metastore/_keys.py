"""Names of the keys that the schedulers keep in the store."""

from typing import Final

from chiveworks.base import JobId

#: Held under a store lease by the process that schedules.
LEADER_PREFIX: Final = 'chiveworks/leader/'
LEADER_KEY: Final = 'chiveworks/leader/holder'
#: Written by every transaction of the leader, which makes them a chain.
SEQUENCE_KEY: Final = 'chiveworks/sequence'
#: Submissions and ends, one key a job.
JOB_PREFIX: Final = 'chiveworks/jobs/'
#: Progress of jobs that have not ended, one key a job.
PROGRESS_PREFIX: Final = 'chiveworks/progress/'
#: Number of jobs for which nothing has started, by queue.
PENDING_KEY: Final = 'chiveworks/pending'

#: What the leader has learned of interference between images.
PRESSURE_KEY: Final = 'chiveworks/pressure'


def job_key(job_id: JobId) -> str:
    """Returns the key of a job's record."""
    return JOB_PREFIX + job_id


def progress_key(job_id: JobId) -> str:
    """Returns the key of a job's progress."""
    return PROGRESS_PREFIX + job_id
