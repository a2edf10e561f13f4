"""A shard bench that injects faults into chosen calls of its processes."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Err

from chiveworks.base import Failure, Step, ZoneName
from chiveworks.catalogue import ZoneState
from chiveworks.scheduler import SchedulerTimings
from chiveworks.scheduler.tests.shard_bench import CAPACITY, Process, ShardBench
from standins.workers import MemoryWorkerControl
from tests.promises import model
from tests.promises.promise import Promise
from tests.promises.tally import Tally

LAITA = ZoneName('laita')
ISOLE = ZoneName('isole')
#: Shorter than in production, so that a test can wait until the scheduler gives
#: up on a lost worker.
SHORT_OUTAGE_TOLERANCE = SchedulerTimings(store_outage_tolerance=timedelta(seconds=20))
_STORE_CALLS = ('fetch', 'compare_and_swap', 'delete', 'renew_lease')
_CONTROL_CALLS = ('renew', 'start', 'stop')
_CALL_TIMEOUT = timedelta(seconds=2)


@dataclass(frozen=True)
class CallEvent:
    """The start or the end of a call from a process to the store or a worker.

    Attributes:
        name: Name of the called method, for example `compare_and_swap`.
        key: Store key, or the worker's id for a command to a worker.
        done: False before the call takes effect, true after it was answered.
    """

    name: str
    key: str
    done: bool


class CallProxy:
    """Forwards calls and reports them to the interceptor before and after."""

    def __init__(
        self, target: object, names: tuple[str, ...], interceptor: 'CallInterceptor'
    ) -> None:
        self._target = target
        self._names = names
        self._interceptor = interceptor

    def __setattr__(self, name: str, value: object) -> None:
        if name.startswith('_'):
            object.__setattr__(self, name, value)
        else:
            setattr(self._target, name, value)

    def __getattr__(self, name: str) -> object:
        found = getattr(self._target, name)
        if name not in self._names:
            return found

        async def intercepted(*args: object, **options: object) -> object:
            key = self._interceptor.key_of(self._target, args)
            await self._interceptor.on_call(CallEvent(name, key, done=False))
            answer = await self._interceptor.deliver(self._target, name, args, options)
            await self._interceptor.on_call(CallEvent(name, key, done=True))
            return answer

        return intercepted


class CallInterceptor:
    """Intercepts the calls of one process: freezes the process, delays calls.

    Attributes:
        freeze_when: Predicate that is evaluated before and after each call; the
            process is frozen the first time that it returns true.
        frozen_at: Event at which the process was frozen, or None.
        delivery_delays_s: Delay in seconds, by method name, with which the next
            such command is delivered; its caller times out in any case.
        lost_answers: Number of commands, by method name, that take effect but
            whose answers are lost.
        unreachable_after_loss: Whether a worker becomes unreachable once one of
            its answers was lost.
    """

    def __init__(self, process: Process, clock: object) -> None:
        self.freeze_when: Callable[[CallEvent], bool] | None = None
        self.frozen_at: CallEvent | None = None
        self.delivery_delays_s: dict[str, float] = {}
        self.lost_answers: Counter[str] = Counter()
        self.unreachable_after_loss = False
        self._process = process
        self._clock = clock
        self._deliveries: set[asyncio.Future[None]] = set()

    def key_of(self, target: object, args: tuple[object, ...]) -> str:
        if isinstance(target, MemoryWorkerControl):
            return str(target.worker.spec.worker_id)
        return str(args[0])

    async def on_call(self, event: CallEvent) -> None:
        if (
            self.freeze_when is not None
            and self.frozen_at is None
            and self.freeze_when(event)
        ):
            self.frozen_at = event
            self._process.gate.freeze()
        await self._process.gate.wait()

    async def deliver(
        self, target: object, name: str, args: tuple[object, ...], options: dict
    ) -> object:
        if self.lost_answers[name]:
            self.lost_answers[name] -= 1
            await getattr(target, name)(*args, **options)
            if self.unreachable_after_loss:
                target.unreachable = True
            await self._clock.sleep(_CALL_TIMEOUT)
            return Err(Failure.unknown(Step.SEND, 'worker', 'answer lost'))
        delay_s = self.delivery_delays_s.pop(name, None)
        if delay_s is None:
            return await getattr(target, name)(*args, **options)

        async def deliver_late() -> None:
            await self._clock.sleep(timedelta(seconds=delay_s))
            await getattr(target, name)(*args, **options)

        delivery = asyncio.ensure_future(deliver_late())
        self._deliveries.add(delivery)
        delivery.add_done_callback(self._deliveries.discard)
        await self._clock.sleep(_CALL_TIMEOUT)
        return Err(Failure.unknown(Step.SEND, 'worker', 'no answer in time'))


class FaultBench(ShardBench):
    """Adds call interception, zone switches and the checks of the reference model."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.interceptors: dict[int, CallInterceptor] = {}
        self.out_spans: dict[str, list[list[float]]] = {one: [] for one in self.zones}
        self.cancelled_ms: dict[str, float] = {}
        self.single_run_ids: set[str] = set()
        # When a worker is cut off, a resumable task may finish there and, after its
        # lease has expired, a second time on another worker. By the contract of
        # `can_checkpoint` only the recorded result takes effect.
        self.loses_workers = False

    @property
    def now_ms(self) -> float:
        return self.clock.monotonic() / timedelta(milliseconds=1)

    def add_process(self, zone: ZoneName) -> Process:
        process = super().add_process(zone)
        interceptor = CallInterceptor(process, self.clock)
        self.interceptors[id(process)] = interceptor
        # The process has not run yet, so that all of its calls are intercepted.
        process.controls.update(
            {
                worker: CallProxy(control, _CONTROL_CALLS, interceptor)
                for worker, control in process.controls.items()
            }
        )
        for name in _STORE_CALLS:
            inner = getattr(process.store, name)
            intercepted_call = _intercept_method(inner, name, interceptor)
            setattr(process.store, name, intercepted_call)
        return process

    def control(self, process: Process, worker: str) -> MemoryWorkerControl:
        """Returns the unwrapped control, whose attributes inject faults."""
        found = process.controls[worker]
        return found._target if isinstance(found, CallProxy) else found

    def owner(self, zone: ZoneName = LAITA) -> Process:
        return self.owners_of(zone)[0]

    def interceptor_of(self, process: Process) -> CallInterceptor:
        return self.interceptors[id(process)]

    async def switch_zone(self, zone: ZoneName, *, out: bool) -> None:
        """Takes a zone out of service or back and records the time."""
        await self.set_zone(zone, ZoneState.OUT if out else ZoneState.IN_SERVICE)
        spans = self.out_spans[zone]
        is_out = bool(spans) and spans[-1][1] == model.FOREVER
        if out and not is_out:
            spans.append([self.now_ms, model.FOREVER])
        elif not out and is_out:
            spans[-1][1] = self.now_ms

    def heal(self) -> None:
        for process in self.processes:
            process.gate.thaw()
            process.store.faults.outage = False
            process.store.faults.drop_answer_next = 0
            process.store.faults.delay_ms = 0
            self.interceptor_of(process).freeze_when = None
            self.interceptor_of(process).delivery_delays_s.clear()
            self.interceptor_of(process).lost_answers.clear()
            self.interceptor_of(process).unreachable_after_loss = False
            for worker in process.controls:
                control = self.control(process, worker)
                control.unreachable = False
                control.drop_answers = 0

    def check_model(self, tally: Tally) -> None:
        """Checks all runs so far against the reference model."""
        runs = model.runs_of(self.workers)
        found = {
            Promise.CAPACITY: model.overcommitted(self.workers, CAPACITY),
            Promise.ONCE_AT_A_TIME: model.overlapping(runs),
            Promise.EVICTION: [] if self.loses_workers else model.finished_twice(runs),
            Promise.AT_MOST_ONCE: model.ran_again(runs, self.single_run_ids),
            Promise.CANCELLATION: model.started_after_cancellation(
                runs, self.cancelled_ms, 0
            ),
            Promise.ZONE_OUT: [
                one
                for zone, spans in self.out_spans.items()
                for one in model.late_starts(runs, zone, map(tuple, spans))
            ],
        }
        for promise, messages in found.items():
            for message in messages:
                tally.violation(message, promise)


def _intercept_method(
    inner: Callable, name: str, interceptor: CallInterceptor
) -> Callable:
    async def intercepted(*args: object, **options: object) -> object:
        key = str(args[0])
        await interceptor.on_call(CallEvent(name, key, done=False))
        answer = await inner(*args, **options)
        await interceptor.on_call(CallEvent(name, key, done=True))
        return answer

    return intercepted
