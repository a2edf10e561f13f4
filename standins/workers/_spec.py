"""Properties of a simulated worker."""

from dataclasses import dataclass

from chiveworks.base import Resources


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """Capacity, durations and intervals of a simulated worker.

    Attributes:
        worker_id: Name in the instance list.
        capacity: Total resources; starts are not checked against them.
        slots: Number of requests that it serves concurrently.
        service_ms: Duration of a request on an idle worker.
        default_duration_ms: Run time of a task whose payload specifies none.
        checkpoint_interval_ms: Progress between two checkpoints of a task.
        usage_lag_ms: Time from a measurement to its report.
    """

    worker_id: str
    capacity: Resources = Resources(16_000, 60_000_000_000)
    slots: int = 8
    service_ms: float = 5
    default_duration_ms: float = 1000
    checkpoint_interval_ms: int = 200
    usage_lag_ms: int = 3000
