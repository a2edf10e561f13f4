"""Result of a job submission."""

from dataclasses import dataclass

from chiveworks.membership._job_view import JobView


@dataclass(frozen=True, slots=True)
class JobRegistration:
    """The job that is registered under the submitted key.

    Attributes:
        job: State of the job.
        created: Whether this submission created the job; False if it existed
            with the same contents.
    """

    job: JobView
    created: bool
