"""Response of a worker to a renewal."""

from dataclasses import dataclass

from chiveworks.base import BootId, Epoch, Resources, TicketMs, WorkerId
from chiveworks.workers import TaskReport, UsageSample, WorkerReport
from standins.workers._usage import Measurement


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """An attempt and its start time on the worker's clock."""

    task: TaskReport
    started_ms: int


@dataclass(frozen=True, slots=True)
class Report:
    """State of a worker, with times on its own clock."""

    worker: WorkerId
    boot_id: BootId
    epoch: Epoch
    ticket: TicketMs
    lease_left_ms: int
    runs: tuple[ReportedRun, ...]
    usage: tuple[Measurement, ...]

    def to_message(self) -> WorkerReport:
        """Converts the report to the type that the scheduler receives."""
        usage = tuple(
            UsageSample(
                measured.task_id,
                measured.used,
                measured.slowdown,
                self.ticket - measured.at_ms,
            )
            for measured in self.usage
        )
        return WorkerReport(
            self.worker,
            self.boot_id,
            self.epoch,
            self.ticket,
            self.lease_left_ms,
            tuple(run.task for run in self.runs),
            usage,
        )

    def to_json(self) -> dict[str, object]:
        """Returns the report in its wire format."""
        return {
            'worker': self.worker,
            'boot_id': self.boot_id,
            'epoch': self.epoch,
            'ticket_ms': self.ticket,
            'lease_left_ms': self.lease_left_ms,
            'tasks': [_run_json(run) for run in self.runs],
            'usage': [_usage_json(measured) for measured in self.usage],
        }


def _run_json(run: ReportedRun) -> dict[str, object]:
    task = run.task
    return {
        'task_id': task.task_id,
        'attempt': task.attempt,
        'state': task.state.value,
        'result': task.result,
        'checkpoint': task.checkpoint,
        'started_ms': run.started_ms,
        'cause': task.cause.value,
        **_resources_json(task.allotted),
    }


def _usage_json(measured: Measurement) -> dict[str, object]:
    return {
        'task_id': measured.task_id,
        'cpu_millicores': measured.used.cpu_millicores,
        'memory_bytes': measured.used.memory_bytes,
        'slowdown': measured.slowdown,
        'at_ms': measured.at_ms,
    }


def _resources_json(resources: Resources) -> dict[str, int]:
    return {
        'cpu_millicores': resources.cpu_millicores,
        'memory_bytes': resources.memory_bytes,
        'accelerators': resources.accelerators,
    }
