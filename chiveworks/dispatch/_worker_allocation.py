"""Resources of a worker that are allocated to tasks."""

from collections import Counter

from chiveworks.dispatch._pace_plan import FULL_PACE_PERCENT
from chiveworks.workflow import Task


class WorkerAllocation:
    """Sums of the demands of all tasks that are claimed for or run on a worker.

    Tasks with a reservation on the worker are included.

    Filling tasks are batch tasks that only use idle processor time; serving tasks
    have a latency target.

    Attributes:
        cpu_millicores: Processor claims of all tasks but filling ones.
        filling_millicores: Processor claims of filling tasks, scaled by their pace.
        serving_millicores: Processor claims of serving tasks.
        memory_bytes: Memory claims.
        accelerators: Accelerator claims.
        serving_images: Number of serving tasks, by image.
        filling_images: Processor claims of filling tasks, scaled by their pace, by
            image.
    """

    def __init__(self) -> None:
        self.cpu_millicores = 0
        self.filling_millicores = 0
        self.serving_millicores = 0
        self.memory_bytes = 0
        self.accelerators = 0
        self.serving_images: Counter[str] = Counter()
        self.filling_images: Counter[str] = Counter()

    def count(self, task: Task, sign: int) -> None:
        """Adds the demand of a task, or subtracts it if `sign` is -1."""
        spec, demand = task.spec, task.spec.demand
        if spec.fills:
            self.count_filling(task, sign)
        else:
            self.cpu_millicores += sign * demand.cpu_millicores
        if spec.serves:
            self.serving_millicores += sign * demand.cpu_millicores
            _adjust(self.serving_images, spec.image, sign)
        self.memory_bytes += sign * demand.memory_bytes
        self.accelerators += sign * demand.accelerators

    def count_filling(self, task: Task, sign: int) -> None:
        """Adds or subtracts only the processor demand of a filling task, at its pace."""
        # A task whose pace is not known counts as one at full pace.
        percent = task.pace_percent if task.pace_percent >= 0 else FULL_PACE_PERCENT
        change = sign * (task.spec.demand.cpu_millicores * percent // FULL_PACE_PERCENT)
        self.filling_millicores += change
        _adjust(self.filling_images, task.spec.image, change)


def _adjust(amounts: Counter[str], image: str, change: int) -> None:
    amounts[image] += change
    if amounts[image] <= 0:
        amounts.pop(image)
