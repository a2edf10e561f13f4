"""Number of jobs in one state."""

from dataclasses import dataclass

from chiveworks.membership._job_state import JobState


@dataclass(frozen=True, slots=True)
class JobCount:
    """Number of a shard's jobs that are in `state`."""

    state: JobState
    count: int
