"""Properties of one worker."""

from dataclasses import dataclass

from chiveworks.base import Resources


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """What a worker has and how it measures.

    Attributes:
        worker_id: Its name in the instance list.
        capacity: What it has in all; starts are not checked against it.
        slots: Requests that it serves at once.
        service_ms: Time of a request on an idle worker.
        default_duration_ms: Run time of a task whose payload gives none.
        checkpoint_interval_ms: Progress between two checkpoints of a running task.
        usage_lag_ms: Time from a measurement to its report.
    """

    worker_id: str
    capacity: Resources = Resources(16_000, 60_000_000_000)
    slots: int = 8
    service_ms: float = 5
    default_duration_ms: float = 1000
    checkpoint_interval_ms: int = 200
    usage_lag_ms: int = 3000
