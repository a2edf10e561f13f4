"""Request that hands a job over to another zone."""

from dataclasses import dataclass

from chiveworks.base import JobId


@dataclass(frozen=True, slots=True)
class JobTransfer:
    """A job whose record names the receiver's zone as its home.

    Attributes:
        job_id: Id of the job.
        generation: How often the job's home has moved, as in its record.
    """

    job_id: JobId
    generation: int
