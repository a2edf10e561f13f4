"""Orders waiting steps by urgency."""

import enum
from collections.abc import Iterable
from datetime import timedelta

from chiveworks.workflow import StepRun


class Lateness(enum.IntEnum):
    """Rank of a step among those of its priority."""

    #: The run of a lasting task has ended; its users miss it until it runs again.
    INTERRUPTED = 0
    #: The job can still meet its deadline.
    ON_TIME = 1
    LATE = 2
    #: The job no longer earns credit.
    EXPIRED = 3


def by_urgency(runs: Iterable[StepRun], now: timedelta) -> list[StepRun]:
    """Returns the steps in the order in which workers are claimed for them."""
    return sorted(runs, key=lambda run: _urgency(run, now))


def _urgency(run: StepRun, now: timedelta) -> tuple[int, Lateness, float]:
    """Returns the sort key of a step run.

    Orders by priority, then by lateness. Among interrupted steps the one that has
    waited longest comes first, among others that of the job with the least remaining
    work, which completes the most jobs in time when capacity is short.
    """
    job = run.job
    priority = job.queue.priority
    interrupted_at = run.interrupted_at
    if interrupted_at is not None:
        return priority, Lateness.INTERRUPTED, interrupted_at.total_seconds()
    return priority, _lateness(run, now), job.remaining_work


def _lateness(run: StepRun, now: timedelta) -> Lateness:
    if run.job.can_meet_deadline(run.step, now):
        return Lateness.ON_TIME
    # A lasting task does not lose its use when the deadline of its job has passed.
    if run.spec.long_running or now < run.job.expires_at:
        return Lateness.LATE
    return Lateness.EXPIRED
