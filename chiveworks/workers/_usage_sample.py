"""A usage measurement, which is reported with a lag."""

from dataclasses import dataclass

from chiveworks.base import Resources, TaskId


@dataclass(frozen=True, slots=True)
class UsageSample:
    """Measured resource usage of one task.

    Attributes:
        task_id: Id of the task.
        used: Resources in use.
        slowdown: Ratio of the measured run time or latency to the one without
            interference; at least 1.
        age_ms: Age of the measurement when the worker sent it.
    """

    task_id: TaskId
    used: Resources
    slowdown: float
    age_ms: int
