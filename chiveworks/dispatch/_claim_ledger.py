"""Counts what the tasks of each client account claim on the workers."""

from collections import Counter, defaultdict
from collections.abc import Callable

from chiveworks.accounts import AccountUsage
from chiveworks.base import AccountName
from chiveworks.workflow import Job, StepRun, Task


def _queue_service(job: Job) -> str:
    return job.queue.service


class ClaimLedger:
    """Counts each task once while it has a run or a reservation on any worker.

    A run counts from its claim until its end is certain, also on workers that are not
    known yet. A task that moves has a run on one worker and a reservation on another;
    the reservation keeps its place in the limit until it is claimed again. Tasks of jobs
    without an account are not counted.

    Args:
        service_of: Returns the service that currently runs a job's tasks.

    Attributes:
        usage: Claims by account.
        by_service: Claims by account, by service.
    """

    def __init__(self, service_of: Callable[[Job], str] = _queue_service) -> None:
        self.usage = AccountUsage()
        self.by_service: defaultdict[str, AccountUsage] = defaultdict(AccountUsage)
        self._service_of = service_of
        self._holds: Counter[Task] = Counter()
        self._services: dict[Task, str] = {}
        self._held: Counter[StepRun] = Counter()

    def hold(self, task: Task) -> None:
        """Counts a task that gets a run or a reservation."""
        job = task.step_run.job
        account = job.account
        if not account:
            return
        self._holds[task] += 1
        if self._holds[task] == 1:
            service = self._service_of(job)
            self._services[task] = service
            self._held[task.step_run] += 1
            self.usage.add(account, task.spec.demand)
            self.by_service[service].add(account, task.spec.demand)

    def drop(self, task: Task) -> None:
        """Takes note that a run has certainly ended or a reservation is freed."""
        run = task.step_run
        account = run.job.account
        if not account:
            return
        self._holds[task] -= 1
        if self._holds[task]:
            return
        self._holds.pop(task)
        self._held[run] -= 1
        if not self._held[run]:
            self._held.pop(run)
        self.usage.remove(account, task.spec.demand)
        self.by_service[self._services.pop(task)].remove(account, task.spec.demand)

    def claimed_millicores(self) -> dict[AccountName, int]:
        """Returns the claimed processors, by account."""
        return {name: self.usage.used(name).cpu_millicores for name in self.usage}

    def holds(self, task: Task) -> bool:
        """Tells whether a task is counted."""
        return task in self._holds

    def held(self, run: StepRun) -> int:
        """Returns the number of counted tasks of a step."""
        return self._held[run]
