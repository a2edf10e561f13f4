"""A worker's answer to a renewal."""

from dataclasses import dataclass

from chiveworks.base import BootId, Epoch, TicketMs, WorkerId
from chiveworks.workers._task_report import TaskReport
from chiveworks.workers._usage_sample import UsageSample


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """State of a worker.

    Attributes:
        worker: The worker.
        boot_id: Changes whenever the worker's process restarts.
        epoch: Highest epoch the worker has seen.
        ticket: The worker's monotonic clock when it answered.
        lease_left_ms: What is left of the control lease, 0 when it has lapsed.
        tasks: All attempts it holds, ended ones until they are acknowledged.
        usage: Measurements that became available since the last report.
    """

    worker: WorkerId
    boot_id: BootId
    epoch: Epoch
    ticket: TicketMs
    lease_left_ms: int
    tasks: tuple[TaskReport, ...] = ()
    usage: tuple[UsageSample, ...] = ()
