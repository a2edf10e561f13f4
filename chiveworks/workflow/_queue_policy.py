"""How the jobs of one queue are run."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Configuration of a queue.

    Attributes:
        name: Name of the queue.
        service: Service whose workers run the queue's tasks.
        priority: 0 comes first.
        attempt_limit: Failed runs after which a task is given up.
        stretch: Allowed duration of a job, in multiples of its longest chain.
        latency_objective: Allowed time on top of the stretched chain.
        advised: Whether an external policy decides which workers may run a step.
    """

    name: str
    service: str
    priority: int = 0
    attempt_limit: int = 1
    stretch: float = 1.0
    latency_objective: timedelta = timedelta()
    advised: bool = False
