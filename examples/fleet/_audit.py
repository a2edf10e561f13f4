"""Checks the scheduler's promises against the logs of the workers."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Audit:
    """Task runs collected from the logs of all workers.

    Attributes:
        starts: Time in ms, worker, task id and attempt of each start.
        spans: Start and end in ms of each run by task id; the end is None while
            the task is running.
        finish_counts: How often each task finished.
        evictions: Number of runs that were stopped by a command.
        overcommitted: Workers whose committed resources exceeded their capacity.
    """

    starts: list[tuple[int, str, str, int]] = field(default_factory=list)
    spans: dict[str, list[tuple[int, int | None]]] = field(default_factory=dict)
    finish_counts: Counter[str] = field(default_factory=Counter)
    evictions: int = 0
    overcommitted: list[str] = field(default_factory=list)

    @classmethod
    def from_logs(cls, logs: dict[str, dict[str, Any]]) -> 'Audit':
        """Creates an audit from the logs of all workers by worker id."""
        audit = cls()
        for worker, log in logs.items():
            audit.add_log(worker, log)
        return audit

    def add_log(self, worker: str, log: dict[str, Any]) -> None:
        """Adds the runs in the log of one worker."""
        running: dict[tuple[str, int], int] = {}
        for event in log['events']:
            run = (event['task_id'], event['attempt'])
            if event['event'] == 'start':
                running[run] = event['at_ms']
                start = (event['at_ms'], worker, event['task_id'], event['attempt'])
                self.starts.append(start)
            else:
                span = (running.pop(run), event['at_ms'])
                self.spans.setdefault(event['task_id'], []).append(span)
                self._count_run_end(event)
        for (task_id, _), started_ms in running.items():
            self.spans.setdefault(task_id, []).append((started_ms, None))
        greatest, capacity = log['greatest'], log['capacity']
        if any(greatest[name] > capacity[name] for name in capacity):
            self.overcommitted.append(worker)

    def duplicated_tasks(self) -> list[str]:
        """Returns tasks that finished more than once or had overlapping runs."""
        twice = [task_id for task_id, count in self.finish_counts.items() if count > 1]
        return sorted({*twice, *filter(self._has_overlapping_runs, self.spans)})

    def starts_between(self, zone: str, after_ms: int, before_ms: int) -> int:
        """Counts the starts on the workers of a zone between two times."""
        return sum(
            1
            for at_ms, worker, _, _ in self.starts
            if worker.startswith(f'{zone}-') and after_ms < at_ms < before_ms
        )

    def _count_run_end(self, event: dict[str, Any]) -> None:
        if event['state'] == 'finished':
            self.finish_counts[event['task_id']] += 1
        elif event['cause'] == 'command':
            self.evictions += 1

    def _has_overlapping_runs(self, task_id: str) -> bool:
        spans = sorted(self.spans[task_id], key=lambda span: span[0])
        pairs = zip(spans, spans[1:], strict=False)
        return any(
            earlier[1] is None or earlier[1] > later[0] for earlier, later in pairs
        )
