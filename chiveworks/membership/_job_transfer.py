"""Request to take over a job."""

from dataclasses import dataclass

from chiveworks.base import JobId


@dataclass(frozen=True, slots=True)
class JobTransfer:
    """A job whose record now names the receiver's zone as home.

    Attributes:
        job_id: The job.
        generation: Count of the moves of the job's home, as in its record.
    """

    job_id: JobId
    generation: int
