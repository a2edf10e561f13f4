"""Waits for near workers that have begun, and their log lines."""

from collections.abc import Container
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, RackName
from chiveworks.events import EventLog
from chiveworks.locality import NearDecision, NearReason
from chiveworks.workflow import StepRun, Task, TaskState

_MILLISECOND: Final = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class _Wait:
    began_at: timedelta
    run: StepRun


class NearWaitLog:
    """Keeps when waits began, of tasks (`data_wait`) and of groups (`group_wait`).

    The event metrics count both by outcome: started, paid_off (on a near worker),
    abandoned (on a remote one), ended (for another reason, such as a cancelling).

    Args:
        clock: Source of time.
        log: Event log for the lines.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._waits: dict[Task | StepRun, _Wait] = {}

    def began_at(self, key: Task | StepRun) -> timedelta | None:
        """Returns when a task or a group began to wait; None if it does not wait."""
        wait = self._waits.get(key)
        return wait.began_at if wait else None

    def begin(
        self, key: Task | StepRun, run: StepRun, rack: RackName, decision: NearDecision
    ) -> None:
        """Records that a task or a group waits, unless that is known."""
        if key in self._waits:
            return
        now = self._clock.monotonic()
        self._waits[key] = _Wait(now, run)
        self._write(
            key,
            run,
            'started',
            rack=rack,
            limit_ms=(decision.wait_until - now) // _MILLISECOND,
            near_ms=decision.near_end and (decision.near_end - now) // _MILLISECOND,
            spread_ms=decision.near_spread // _MILLISECOND,
            remote_ms=(decision.remote_end - now) // _MILLISECOND,
        )

    def end(self, key: Task | StepRun, outcome: str, reason: NearReason | None) -> None:
        """Records the end of a wait, if there was one."""
        wait = self._waits.pop(key, None)
        if wait is not None:
            waited = self._clock.monotonic() - wait.began_at
            self._write(
                key,
                wait.run,
                outcome,
                waited_ms=waited // _MILLISECOND,
                reason=reason and reason.value,
            )

    def retain(self, ready: Container[StepRun]) -> None:
        """Ends the waits of tasks that no longer wait for a worker."""
        ended = [
            key
            for key, wait in self._waits.items()
            if wait.run not in ready
            or (isinstance(key, Task) and key.state is not TaskState.WAITING)
        ]
        for key in ended:
            self.end(key, 'ended', None)

    def _write(
        self, key: Task | StepRun, run: StepRun, outcome: str, **fields: object
    ) -> None:
        event = 'group_wait'
        number: tuple[int, ...] = (run.occurrence, run.step)
        if isinstance(key, Task):
            event = 'data_wait'
            number = key.ref[1:]
        self._log.write(
            event,
            outcome=outcome,
            job=run.job.job_id,
            task=number,
            queue=run.job.queue.name,
            **fields,
        )
