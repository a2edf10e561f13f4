"""Client requests to submit, cancel and query jobs."""

from chiveworks.intake._job_intake import IntakeVerdict, JobIntake
from chiveworks.intake._queue_catalogue import (
    IntakeLimits,
    QueueCatalogue,
    QueueRoute,
)
from chiveworks.intake._retry_advice import RetryAdvice

__all__ = (
    'IntakeLimits',
    'IntakeVerdict',
    'JobIntake',
    'QueueCatalogue',
    'QueueRoute',
    'RetryAdvice',
)
