"""Sends start, stop and pace orders to workers and resolves their outcomes."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any, Final

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._crash_suspicion import is_of_earlier_life
from chiveworks.dispatch._worker_control import OrderOutcome, StartOrder
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.metastore import Term
from chiveworks.workflow import UNKNOWN_PACE, Task, TaskRef, TaskState

#: Pause before an order without a response is sent again.
RETRY_PAUSE: Final = timedelta(milliseconds=100)
#: Pause after an accepted stop before it is sent again for a run that is still listed.
STOP_REPEAT_PAUSE: Final = timedelta(seconds=1)
#: Number of times a start is sent without a response before the run is stopped.
START_SEND_LIMIT: Final = 3
#: Time during which a worker that refused a start as unhealthy gets no work.
UNHEALTHY_PAUSE: Final = timedelta(seconds=1)
#: Time during which a worker that had less free capacity than the scheduler assumed
#: gets no work.
ROOM_PAUSE: Final = timedelta(milliseconds=300)

_CERTAINLY_STOPPED = frozenset((OrderOutcome.ACCEPTED, OrderOutcome.SUPERSEDED))
#: Outcomes after which a stop is not retried.
_LAST_STOP_OUTCOMES = _CERTAINLY_STOPPED | {OrderOutcome.FENCED}

#: Outcomes of a start after which the task prefers other workers.
_AVOIDED_OUTCOMES = frozenset((OrderOutcome.GONE, OrderOutcome.INVALID))


class Orders:
    """Sends orders to workers with the fencing token of the term.

    Args:
        term: Leadership term under which orders are sent.
        clock: Source of time.
        log: Event log for orders and their outcomes.
        workers: Workers by id.
        released: Called with a task whose run certainly did not start.
        spawn: Runs a coroutine in the background until the term ends.
    """

    def __init__(
        self,
        term: Term,
        clock: Clock,
        log: EventLog,
        workers: dict[WorkerId, WorkerView],
        released: Callable[[WorkerView, Task, str], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        self._term = term
        self._clock = clock
        self._log = log
        self._workers = workers
        self._released = released
        self._spawn = spawn
        self._stopping: set[tuple[WorkerId, TaskRef, int]] = set()
        self._withdrawing: set[tuple[WorkerId, TaskRef, int]] = set()

    def start(self, task: Task, ticket: str = '') -> None:
        """Starts a claimed run; the claim must already be durable."""
        task.sent = True
        self._spawn(self._start(task, self._workers[_worker_of(task)], ticket))

    def stop(self, task: Task, reason: str) -> None:
        """Stops the current run; its capacity is freed once its end is known.

        A call is ignored while an earlier stop of the run is under way or was accepted
        less than `STOP_REPEAT_PAUSE` ago. If the worker is not known yet, the stop is
        sent when the worker lists the run.
        """
        worker_id = _worker_of(task)
        worker = self._workers.get(worker_id)
        if worker is None:
            self._log_run(
                'stop_not_sent',
                worker_id,
                task.ref,
                task.attempt,
                state=task.state.name.lower(),
                reason=reason,
            )
            _mark_stopping(task)
            return
        key = (worker_id, task.ref, task.attempt)
        if key in self._stopping or not self._term.valid:
            return
        self._log_order('run_stopping', task, worker, reason=reason)
        if task.state is TaskState.CLAIMED and not task.sent:
            self._released(worker, task, reason)
            return
        _mark_stopping(task)
        self._spawn(self._stop(task, worker, task.attempt))

    def withdraw(self, worker: WorkerView, ref: TaskRef, attempt: int) -> None:
        """Stops a run that matches no claim of this scheduler.

        Further calls for the same run are ignored until a pause after the stop.
        """
        key = (worker.worker_id, ref, attempt)
        if key not in self._withdrawing:
            self._withdrawing.add(key)
            self._spawn(self._withdraw(worker, ref, attempt))

    def set_pace(self, worker: WorkerView, task: Task, percent: int) -> None:
        """Sets the share of its full speed at which a run works, in percent."""
        now = self._clock.monotonic()
        task.count_work(now)
        # The time without progress goes on in proportion to the paces, so that frequent
        # changes do not hide a stall. It begins anew after a pause.
        share = max(task.pace_percent, 0) / percent if percent > 0 else 0
        task.progressed_at = now - share * (now - task.progressed_at)
        worker.set_pace(task, percent)
        self._spawn(self._pace(worker, task, percent))

    async def _start(self, task: Task, worker: WorkerView, ticket: str) -> None:
        attempt = task.attempt
        missing_responses = 0
        while _is_current(task, attempt, TaskState.CLAIMED) and self._term.valid:
            outcome = await self._send_start(task, worker, ticket)
            if not _is_current(task, attempt, TaskState.CLAIMED):
                break
            if outcome is OrderOutcome.UNKNOWN:
                missing_responses += 1
                if missing_responses >= START_SEND_LIMIT:
                    task.state = TaskState.STOPPING
                    await self._stop(task, worker, attempt)
                    return
                await self._clock.sleep(RETRY_PAUSE)
                continue
            await self._handle_start_outcome(
                task, worker, outcome, certain=not missing_responses
            )
            return
        if _is_current(task, attempt, TaskState.DONE):
            # Another member of its gang was done first. The worker may not list this
            # run, so that only a stop makes its end certain.
            await self._stop(task, worker, attempt)

    async def _send_start(
        self, task: Task, worker: WorkerView, ticket: str
    ) -> OrderOutcome:
        if is_of_earlier_life(task, worker):
            return OrderOutcome.GONE
        lease_end = worker.lease.extend(self._term.confirmed_at)
        if lease_end is None:
            return OrderOutcome.UNHEALTHY
        order = StartOrder(
            task.ref,
            task.attempt,
            task.step_run.job.submission.spec.payload,
            lease_end,
            self._term.token,
            task.checkpoint,
            ticket,
            task.worker_born_ms,
        )
        return await self._outcome(worker.control.start(order), worker, task.ref)

    async def _handle_start_outcome(
        self, task: Task, worker: WorkerView, outcome: OrderOutcome, *, certain: bool
    ) -> None:
        if outcome is OrderOutcome.ACCEPTED:
            task.state = TaskState.RUNNING
            task.step_run.job.started = True
            task.started_at = self._clock.monotonic()
            task.progressed_at = task.started_at
            self._log_order('run_started', task, worker)
            return
        self._log_order('start_refused', task, worker, outcome=outcome.value)
        self._handle_refusal(worker, task, outcome)
        if certain:
            self._released(worker, task, outcome.value)
        else:
            # An earlier start without a response may still be carried out.
            task.state = TaskState.STOPPING
            await self._stop(task, worker, task.attempt)

    def _handle_refusal(
        self, worker: WorkerView, task: Task, outcome: OrderOutcome
    ) -> None:
        now = self._clock.monotonic()
        if outcome is OrderOutcome.FENCED:
            self._term.end('a worker has seen a higher fencing token')
        elif outcome is OrderOutcome.UNHEALTHY:
            worker.quarantined_until = now + UNHEALTHY_PAUSE
        elif outcome is OrderOutcome.NO_ROOM:
            worker.quarantined_until = now + ROOM_PAUSE
        elif outcome is OrderOutcome.GONE and not is_of_earlier_life(task, worker):
            # The next poll shows whether the worker is still gone.
            worker.lose_contact(now)
        if outcome in _AVOIDED_OUTCOMES:
            task.avoided_workers.add(worker.worker_id)

    async def _stop(self, task: Task, worker: WorkerView, attempt: int) -> None:
        key = (worker.worker_id, task.ref, attempt)
        if key in self._stopping:
            return
        self._stopping.add(key)
        if await self._send_stop(task, worker, attempt):
            await self._clock.sleep(STOP_REPEAT_PAUSE)
        self._stopping.discard(key)

    async def _send_stop(self, task: Task, worker: WorkerView, attempt: int) -> bool:
        """Sends a stop until the worker accepts it; returns whether it did."""
        sends = 0
        while task.ref in worker.tasks and task.attempt == attempt and self._term.valid:
            outcome = await self._outcome(
                worker.control.stop(task.ref, attempt, self._term.token),
                worker,
                task.ref,
            )
            sends += 1
            # The repetitions in between, every 100 ms, are not logged.
            if sends == 1 or outcome in _LAST_STOP_OUTCOMES:
                self._log_stop(
                    worker, task.ref, attempt, outcome, sends=sends, queue=_queue(task)
                )
            if outcome in _CERTAINLY_STOPPED:
                # From now on a poll either lists the run or the run never starts. The
                # response says nothing about a newer run that the task may have by
                # now.
                if task.attempt == attempt and not task.started_at:
                    task.started_at = self._clock.monotonic()
                return True
            if outcome is OrderOutcome.FENCED:
                self._term.end('a worker has seen a higher fencing token')
            await self._clock.sleep(RETRY_PAUSE)
        return False

    async def _withdraw(self, worker: WorkerView, ref: TaskRef, attempt: int) -> None:
        self._log_run('run_withdrawn', worker.worker_id, ref, attempt)
        if self._term.valid:
            outcome = await self._outcome(
                worker.control.stop(ref, attempt, self._term.token), worker, ref
            )
            self._log_stop(worker, ref, attempt, outcome, sends=1)
        await self._clock.sleep(RETRY_PAUSE * 3)
        self._withdrawing.discard((worker.worker_id, ref, attempt))

    async def _pace(self, worker: WorkerView, task: Task, percent: int) -> None:
        attempt = task.attempt
        if self._term.valid:
            outcome = await self._outcome(
                worker.control.set_pace(task.ref, attempt, percent, self._term.token),
                worker,
                task.ref,
            )
            self._log_order(
                'run_paced', task, worker, percent=percent, outcome=outcome.value
            )
            if outcome is not OrderOutcome.ACCEPTED and task.attempt == attempt:
                # The pace counts as unknown, so it is set again after a later report.
                worker.set_pace(task, UNKNOWN_PACE)

    async def _outcome(
        self, order: Awaitable[OrderOutcome], worker: WorkerView, ref: TaskRef
    ) -> OrderOutcome:
        """Awaits an order; after an unexpected error its outcome is unknown."""
        try:
            return await order
        except Exception as error:
            self._log.write(
                'order_failed',
                worker=worker.worker_id,
                job=ref.job_id,
                task=ref[1:],
                error=repr(error),
            )
            return OrderOutcome.UNKNOWN

    def _log_stop(
        self,
        worker: WorkerView,
        ref: TaskRef,
        attempt: int,
        outcome: OrderOutcome,
        **fields: object,
    ) -> None:
        self._log_run(
            'stop_sent',
            worker.worker_id,
            ref,
            attempt,
            outcome=outcome.value,
            **fields,
        )

    def _log_order(
        self, event: str, task: Task, worker: WorkerView, **fields: object
    ) -> None:
        self._log_run(
            event,
            worker.worker_id,
            task.ref,
            task.attempt,
            queue=_queue(task),
            **fields,
        )

    def _log_run(
        self,
        event: str,
        worker_id: WorkerId,
        ref: TaskRef,
        attempt: int,
        **fields: object,
    ) -> None:
        self._log.write(
            event,
            job=ref.job_id,
            task=ref[1:],
            attempt=attempt,
            worker=worker_id,
            **fields,
        )


def _is_current(task: Task, attempt: int, state: TaskState) -> bool:
    return task.attempt == attempt and task.state is state


def _mark_stopping(task: Task) -> None:
    if task.active:
        task.state = TaskState.STOPPING


def _worker_of(task: Task) -> WorkerId:
    return task.worker or WorkerId('')


def _queue(task: Task) -> str:
    return task.step_run.job.queue.name
