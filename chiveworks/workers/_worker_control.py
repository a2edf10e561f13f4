"""Interface for controlling a worker."""

from typing import Protocol

from result import Result

from chiveworks.base import Attempt, Epoch, Failure, TaskId
from chiveworks.workers._refusal import Refusal
from chiveworks.workers._renewal import Renewal
from chiveworks.workers._start_order import StartOrder
from chiveworks.workers._worker_report import WorkerReport


class WorkerControl(Protocol):
    """Controls one worker. Every call has a time limit."""

    async def renew(self, renewal: Renewal) -> Result[WorkerReport, Failure | Refusal]:
        """Extends the control lease and returns the worker's report."""

    async def start(self, order: StartOrder) -> Result[None, Failure | Refusal]:
        """Starts an attempt."""

    async def stop(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, *, checkpoint: bool
    ) -> Result[None, Failure | Refusal]:
        """Requests that an attempt be stopped; a later report confirms its end."""

    async def throttle(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, share: float
    ) -> Result[None, Failure | Refusal]:
        """Limits an attempt to a share of its CPU (above 0, at most 1)."""

    async def resize(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, cpu_millicores: int
    ) -> Result[None, Failure | Refusal]:
        """Sets the CPU allocated to an attempt."""
