"""Size and labels that several workers have in common."""

from dataclasses import dataclass

from chiveworks.base import Resources
from chiveworks.workflow import StepSpec


@dataclass(frozen=True, slots=True)
class WorkerShape:
    """What a worker offers when nothing runs on it.

    Attributes:
        capacity: Resources for all tasks together.
        labels: Labels of the worker. If there are none, they count as unknown, and the
            worker as one that has any label.
    """

    capacity: Resources
    labels: frozenset[str] = frozenset()

    def has_label(self, label: str) -> bool:
        """Tells whether the worker has a label, or may have it."""
        return not label or not self.labels or label in self.labels

    def room_for(self, step: StepSpec) -> int:
        """Returns how many tasks of a step the worker can run at the same time.

        The result is `step.count` at most.
        """
        if not self.has_label(step.required_label):
            return 0
        demand, capacity = step.demand, self.capacity
        limits = [step.count, step.worker_limit or step.count]
        if demand.memory_bytes:
            limits.append(capacity.memory_bytes // demand.memory_bytes)
        if demand.accelerators:
            limits.append(capacity.accelerators // demand.accelerators)
        # Filling tasks only use processor time that other tasks leave idle.
        if demand.cpu_millicores and not step.fills:
            limits.append(capacity.cpu_millicores // demand.cpu_millicores)
        return min(limits)

    def merge(self, other: 'WorkerShape') -> 'WorkerShape':
        """Returns a shape that can run whatever one of the two can run."""
        known = self.labels and other.labels
        labels = self.labels | other.labels if known else frozenset()
        return WorkerShape(self.capacity.maximum(other.capacity), labels)
