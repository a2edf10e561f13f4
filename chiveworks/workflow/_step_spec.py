"""One step of a job: a number of equal tasks."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import RackName, Resources

_NO_TIME = timedelta()


@dataclass(frozen=True, slots=True)
class StepSpec:
    """What the tasks of a step need and how they behave.

    Attributes:
        count: Number of tasks.
        demand: What each task takes of a worker.
        estimate: Rough duration of a task, as declared.
        after: Indices of earlier steps that must be done first.
        checkpointed: Whether tasks can resume from a checkpoint.
        gang: Whether the tasks work only together.
        tightly_coupled: Whether the tasks slow down when on several racks.
        required_label: Label that the worker must carry; empty when none.
        data_rack: Rack that holds the input; empty when none.
        worker_limit: Most tasks of the step on one worker; 0 when unlimited.
        speculative: Whether copies of a task may run at the same time.
        long_running: Whether tasks run until the job is cancelled.
        image: What the tasks run; equal images interfere alike.
        latency_target: Bound of the tail latency of a serving task; 0 when none.
        fills: Whether the tasks only use processor time that others leave.
        unavailable_limit: Tasks that may be stopped by the system at a time.
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
        """Whether the tasks have a latency target."""
        return self.latency_target > _NO_TIME
