"""Description of a step, a set of identical tasks."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import RackName, Resources

_NO_TIME = timedelta()


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Requirements and behaviour of the tasks of a step.

    Attributes:
        count: Number of tasks.
        demand: Resources that each task needs on a worker.
        estimate: Declared, approximate duration of a task.
        after: Indices of the earlier steps that must be done first.
        checkpointed: Whether tasks can resume from a checkpoint.
        gang: Whether all tasks must run at the same time.
        tightly_coupled: Whether tasks slow down when spread over several racks.
        required_label: Label that the worker must have; empty if none.
        data_rack: Rack that holds the input data; empty if none.
        worker_limit: Maximum number of the tasks on one worker; 0 if unlimited.
        speculative: Whether copies of a task may run concurrently.
        long_running: Whether tasks run until the job is cancelled.
        image: Image that the tasks run; tasks with the same image are assumed to
            interfere with others in the same way.
        latency_target: Target for the tail latency of a serving task; 0 if none.
        fills: Whether tasks only use processor time that other tasks leave idle.
        unavailable_limit: Maximum number of the tasks that the scheduler may have
            stopped at the same time.
    """

    count: int
    demand: Resources
    estimate: timedelta = _NO_TIME
    after: tuple[int, ...] = ()
    checkpointed: bool = False
    gang: bool = False
    tightly_coupled: bool = False
    required_label: str = ''
    data_rack: RackName = RackName('')
    worker_limit: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    latency_target: timedelta = _NO_TIME
    fills: bool = False
    unavailable_limit: int = 0

    @property
    def serves(self) -> bool:
        """Whether these are serving tasks, which have a latency target."""
        return self.latency_target > _NO_TIME
