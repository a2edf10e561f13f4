"""Response of a worker to a renewal."""

from dataclasses import dataclass

from chiveworks.base import BootId, Epoch, TicketMs, WorkerId
from chiveworks.workers._task_report import TaskReport
from chiveworks.workers._usage_sample import UsageSample


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """State of a worker, its attempts and its recent measurements.

    Attributes:
        worker: Id of the worker.
        boot_id: Id that changes whenever the worker process restarts.
        epoch: Highest epoch that the worker has seen.
        ticket: Monotonic clock of the worker at the time of the response.
        lease_left_ms: Remaining time of the control lease; 0 when it has expired.
        tasks: All attempts on the worker; ended ones until they are acknowledged.
        usage: Measurements that became available since the last report.
    """

    worker: WorkerId
    boot_id: BootId
    epoch: Epoch
    ticket: TicketMs
    lease_left_ms: int
    tasks: tuple[TaskReport, ...] = ()
    usage: tuple[UsageSample, ...] = ()
