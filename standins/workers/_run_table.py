"""Attempts on a worker and their progress."""

from collections import Counter
from dataclasses import replace
from math import ceil

from chiveworks.base import Attempt, TaskId
from chiveworks.workers import ReportedState, StartOrder, StopCause
from standins.workers._interference import slowdown_of
from standins.workers._payload import Payload, parse_payload
from standins.workers._spec import WorkerSpec
from standins.workers._task_run import TaskRun
from standins.workers._worker_log import WorkerLog

_ROUNDING_TOLERANCE_MS = 1e-6

RunKey = tuple[TaskId, Attempt]


class RunTable:
    """Attempts by task and number; their changes are recorded in the worker log.

    Parameters named `at_ms` are times on the host's monotonic clock, for the log.

    Attributes:
        runs: Attempts; ended ones until they are acknowledged.
        seen: Attempts that were started since the worker booted.
        serving: Number of requests in progress, by service.
        fail_tasks: Whether new attempts fail after 1 ms.
    """

    def __init__(self, spec: WorkerSpec, log: WorkerLog) -> None:
        self.runs: dict[RunKey, TaskRun] = {}
        self.seen: set[RunKey] = set()
        self.serving: Counter[str] = Counter()
        self.fail_tasks = False
        self._spec = spec
        self._log = log

    def running(self) -> list[TaskRun]:
        """Returns the running attempts."""
        return [run for run in self.runs.values() if run.state is ReportedState.RUNNING]

    def launch(self, order: StartOrder, started_ms: int, at_ms: int) -> None:
        """Starts an attempt without checking the worker's capacity."""
        instructions = parse_payload(order.payload, self._spec.default_duration_ms)
        if self.fail_tasks:
            instructions = Payload(duration_ms=0, fail=True)
        run = TaskRun(
            order.task_id,
            order.attempt,
            order.kind,
            order.payload,
            instructions,
            order.resources,
            started_ms,
        )
        run.resume(order.checkpoint)
        self.runs[order.task_id, order.attempt] = run
        self.seen.add((order.task_id, order.attempt))
        self._log.record_start(run, at_ms, order.epoch)

    def halt(
        self, run: TaskRun, cause: StopCause, at_ms: int, *, checkpoint: bool = False
    ) -> None:
        """Stops an attempt; an ended one is not changed."""
        if run.state.ended:
            return
        run.halt(cause, checkpoint=checkpoint)
        self._log.record_end(run, at_ms)

    def resize(self, run: TaskRun, cpu_millicores: int) -> None:
        """Sets the CPU allocated to an attempt."""
        former = run.allotted
        run.allotted = replace(former, cpu_millicores=cpu_millicores)
        if not run.state.ended:
            self._log.commit(run.allotted - former)

    def acknowledge(self, key: RunKey) -> None:
        """Removes an attempt if it has ended."""
        run = self.runs.get(key)
        if run and run.state.ended:
            self.runs.pop(key)

    def discard_all(self, at_ms: int) -> None:
        """Ends and removes all attempts, as a restart does."""
        for run in self.running():
            self._log.record_end(run, at_ms, 'restart')
        self.runs.clear()
        self.seen.clear()

    def kinds(self) -> Counter[str]:
        """Returns the number of tasks of each kind; a busy service counts as one."""
        tasks = Counter(run.kind for run in self.running())
        return tasks + Counter(list(+self.serving))

    def load(self) -> float:
        """Returns the committed share of the CPU plus the busy share of the slots."""
        cpu_millicores = max(self._spec.capacity.cpu_millicores, 1)
        tasks = self._log.committed.cpu_millicores / cpu_millicores
        return tasks + sum(self.serving.values()) / max(self._spec.slots, 1)

    def next_end_ms(self) -> int | None:
        """Returns the time until the next attempt ends; None when none is running."""
        ends = (ceil(run.left_ms / speed) for run, speed in self._speeds())
        return min((max(end, 1) for end in ends), default=None)

    def advance(self, elapsed_ms: int, at_ms: int) -> None:
        """Adds progress to all attempts and completes the finished ones."""
        for run, speed in self._speeds():
            run.add_progress(elapsed_ms * speed, self._spec.checkpoint_interval_ms)
            if run.left_ms <= _ROUNDING_TOLERANCE_MS:
                run.complete()
                self._log.record_end(run, at_ms)

    def _speeds(self) -> list[tuple[TaskRun, float]]:
        kinds = self.kinds()
        load = self.load()
        return [
            (run, run.share / slowdown_of(run.kind, kinds, load))
            for run in self.running()
        ]
