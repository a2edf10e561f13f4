"""Scheduling policy of a queue."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

#: Highest stretch, with which the deadline of a job is within the range of `timedelta`.
MAX_STRETCH: Final = 1000


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """How the jobs of a queue are scheduled.

    Attributes:
        name: Name of the queue.
        service: Service whose workers run the queue's tasks.
        priority: Priority of the queue's tasks; 0 is the highest.
        attempt_limit: Number of failed runs after which a task is not retried.
        stretch: Allowed duration of a job, as a multiple of its critical path.
        latency_objective: Duration allowed in addition to the stretched critical path.
        advised: Whether an external policy decides which workers may run a step.
    """

    name: str
    service: str
    priority: int = 0
    attempt_limit: int = 1
    stretch: float = 1.0
    latency_objective: timedelta = timedelta()
    advised: bool = False


def check_stretch(stretch: float) -> float:
    """Returns a stretch from 0 to `MAX_STRETCH`.

    Raises:
        ValueError: It is out of range or not a number.
    """
    if not 0 <= stretch <= MAX_STRETCH:
        raise ValueError(f'stretch is not a number from 0 to {MAX_STRETCH}')
    return stretch
