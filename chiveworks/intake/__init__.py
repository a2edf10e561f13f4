"""Client requests to submit, cancel and query jobs."""

from chiveworks.intake._caller import Caller
from chiveworks.intake._capacity_check import CapacityCheck
from chiveworks.intake._capacity_follower import CapacityFollower
from chiveworks.intake._intake_verdict import IntakeVerdict
from chiveworks.intake._job_intake import JobIntake
from chiveworks.intake._queue_catalogue import (
    IntakeLimits,
    QueueCatalogue,
    QueueRoute,
)
from chiveworks.intake._retry_advice import RetryAdvice
from chiveworks.intake._unservable_job import UnservableJob

__all__ = (
    'Caller',
    'CapacityCheck',
    'CapacityFollower',
    'IntakeLimits',
    'IntakeVerdict',
    'JobIntake',
    'QueueCatalogue',
    'QueueRoute',
    'RetryAdvice',
    'UnservableJob',
)
