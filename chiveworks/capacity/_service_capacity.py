"""The workers of one service, by shape."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import reduce

from chiveworks.base import Resources
from chiveworks.capacity._worker_shape import WorkerShape
from chiveworks.workflow import StepSpec


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Numbers of workers that a service has, or may have again soon.

    Attributes:
        counts: Number of workers, by shape.
    """

    counts: Mapping[WorkerShape, int] = field(default_factory=dict)

    def refusal_reason(self, step: StepSpec) -> str:
        """Returns why no worker can ever run a step; empty if one can."""
        shapes = self.counts
        if not any(shape.has_label(step.required_label) for shape in shapes):
            return f'no worker has the label {step.required_label}'
        if not any(shape.room_for(step) for shape in shapes):
            return f'no worker is large enough for a task with {_describe(step.demand)}'
        if step.gang:
            room = sum(shape.room_for(step) * count for shape, count in shapes.items())
            if room < step.count:
                return f'all workers have room for {room} of the {step.count} tasks'
        return ''

    def bounded(self, shape_limit: int) -> 'ServiceCapacity':
        """Returns at most `shape_limit` shapes that can run all that these can run.

        Workers of the same capacity share a shape then, with the labels of all of them.
        """
        if len(self.counts) <= shape_limit:
            return self
        by_capacity: dict[Resources, WorkerShape] = {}
        for shape in self.counts:
            known = by_capacity.get(shape.capacity, shape)
            by_capacity[shape.capacity] = known.merge(shape)
        merged: Counter[WorkerShape] = Counter()
        for shape, count in self.counts.items():
            merged[by_capacity[shape.capacity]] += count
        if len(merged) > shape_limit:
            largest = reduce(WorkerShape.merge, merged)
            return ServiceCapacity({largest: merged.total()})
        return ServiceCapacity(merged)

    def rounded(self) -> 'ServiceCapacity':
        """Returns the counts rounded up to powers of two, which rarely change.

        Jobs that need up to twice the workers are then not refused.
        """
        return ServiceCapacity(
            {
                shape: 1 << (count - 1).bit_length()
                for shape, count in self.counts.items()
            }
        )

    def without_labels(self) -> 'ServiceCapacity':
        """Returns the same workers with unknown labels."""
        counts: Counter[WorkerShape] = Counter()
        for shape, count in self.counts.items():
            counts[WorkerShape(shape.capacity)] += count
        return ServiceCapacity(counts)

    def union(self, other: 'ServiceCapacity') -> 'ServiceCapacity':
        """Returns the higher count of each shape."""
        return ServiceCapacity(Counter(self.counts) | Counter(other.counts))


def _describe(demand: Resources) -> str:
    return (
        f'{demand.cpu_millicores} millicores, {demand.memory_bytes} bytes '
        f'and {demand.accelerators} accelerators'
    )
