"""Checks promises against the logs of the workers."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Audit:
    """Runs of tasks, collected from all workers' logs."""

    starts: list[tuple[int, str, str, int]] = field(default_factory=list)
    spans: dict[str, list[tuple[int, int | None]]] = field(default_factory=dict)
    finishes: Counter[str] = field(default_factory=Counter)
    evictions: int = 0
    overcommitted: list[str] = field(default_factory=list)

    @classmethod
    def from_logs(cls, logs: dict[str, dict[str, Any]]) -> 'Audit':
        """Collects the runs of all workers."""
        audit = cls()
        for worker, log in logs.items():
            audit.add_log(worker, log)
        return audit

    def add_log(self, worker: str, log: dict[str, Any]) -> None:
        """Adds one worker's log."""
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
                self._count_end(event)
        for (task_id, _), began in running.items():
            self.spans.setdefault(task_id, []).append((began, None))
        greatest, capacity = log['greatest'], log['capacity']
        if any(greatest[name] > capacity[name] for name in capacity):
            self.overcommitted.append(worker)

    def duplicated_tasks(self) -> list[str]:
        """Returns tasks that finished twice or ran in two places at once."""
        twice = [task_id for task_id, count in self.finishes.items() if count > 1]
        return sorted({*twice, *filter(self._overlaps, self.spans)})

    def starts_between(self, zone: str, began_ms: int, ended_ms: int) -> int:
        """Counts the starts on a zone's workers in a period."""
        return sum(
            1
            for at_ms, worker, _, _ in self.starts
            if worker.startswith(f'{zone}-') and began_ms < at_ms < ended_ms
        )

    def _count_end(self, event: dict[str, Any]) -> None:
        if event['state'] == 'finished':
            self.finishes[event['task_id']] += 1
        elif event['cause'] == 'command':
            self.evictions += 1

    def _overlaps(self, task_id: str) -> bool:
        spans = sorted(self.spans[task_id], key=lambda span: span[0])
        pairs = zip(spans, spans[1:], strict=False)
        return any(
            former[1] is None or former[1] > latter[0] for former, latter in pairs
        )
