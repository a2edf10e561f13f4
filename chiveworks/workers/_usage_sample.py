"""A usage measurement that arrives with a lag."""

from dataclasses import dataclass

from chiveworks.base import Resources, TaskId


@dataclass(frozen=True, slots=True)
class UsageSample:
    """Measured use of one task.

    Attributes:
        task_id: The task.
        used: Measured resources.
        slowdown: Measured run time or latency over the undisturbed one, from 1.
        age_ms: Age of the measurement when the worker sent it.
    """

    task_id: TaskId
    used: Resources
    slowdown: float
    age_ms: int
