"""A shard bench whose processes can be stopped at a chosen call."""

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
#: Shorter than in production, so that a lost worker is given up within a test.
SHORT_OUTAGE = SchedulerTimings(store_outage_tolerance=timedelta(seconds=20))
_STORE_CALLS = ('fetch', 'compare_and_swap', 'delete', 'renew_lease')
_CONTROL_CALLS = ('renew', 'start', 'stop')
_CALL_LIMIT = timedelta(seconds=2)


@dataclass(frozen=True)
class CallSite:
    """A call of a process to the store or a worker.

    Attributes:
        name: Method, for example `compare_and_swap`.
        key: Key of a store call, worker of a command.
        done: False before the call takes effect, true once it was answered.
    """

    name: str
    key: str
    done: bool


class Watched:
    """Reports calls to an observer before and after they take effect."""

    def __init__(self, target: object, names: tuple[str, ...], owner: 'Calls') -> None:
        self._target = target
        self._names = names
        self._owner = owner

    def __setattr__(self, name: str, value: object) -> None:
        if name.startswith('_'):
            object.__setattr__(self, name, value)
        else:
            setattr(self._target, name, value)

    def __getattr__(self, name: str) -> object:
        found = getattr(self._target, name)
        if name not in self._names:
            return found

        async def watched(*args: object, **options: object) -> object:
            key = self._owner.key_of(self._target, args)
            await self._owner.pass_site(CallSite(name, key, done=False))
            answer = await self._owner.deliver(self._target, name, args, options)
            await self._owner.pass_site(CallSite(name, key, done=True))
            return answer

        return watched


class Calls:
    """Calls of one process: observes, freezes and delays them.

    Attributes:
        trap: Called at each call; the process freezes when it returns true.
        trapped: Set once the trap has closed.
        late_by: For method names, seconds by which the network holds the next
            such command after the caller has given up on it.
        lost_answers: For method names, how many of the next such commands take
            effect but are not answered.
        cut_after_loss: The worker of a lost answer is cut off afterwards.
    """

    def __init__(self, process: Process, clock: object) -> None:
        self.trap: Callable[[CallSite], bool] | None = None
        self.trapped: CallSite | None = None
        self.late_by: dict[str, float] = {}
        self.lost_answers: Counter[str] = Counter()
        self.cut_after_loss = False
        self._process = process
        self._clock = clock
        self._deliveries: set[asyncio.Future[None]] = set()

    def key_of(self, target: object, args: tuple[object, ...]) -> str:
        if isinstance(target, MemoryWorkerControl):
            return str(target.worker.spec.worker_id)
        return str(args[0])

    async def pass_site(self, site: CallSite) -> None:
        if self.trap is not None and self.trapped is None and self.trap(site):
            self.trapped = site
            self._process.gate.freeze()
        await self._process.gate.wait()

    async def deliver(
        self, target: object, name: str, args: tuple[object, ...], options: dict
    ) -> object:
        if self.lost_answers[name]:
            self.lost_answers[name] -= 1
            await getattr(target, name)(*args, **options)
            if self.cut_after_loss:
                target.unreachable = True
            await self._clock.sleep(_CALL_LIMIT)
            return Err(Failure.unknown(Step.SEND, 'worker', 'answer lost'))
        late_s = self.late_by.pop(name, None)
        if late_s is None:
            return await getattr(target, name)(*args, **options)

        async def later() -> None:
            await self._clock.sleep(timedelta(seconds=late_s))
            await getattr(target, name)(*args, **options)

        delivery = asyncio.ensure_future(later())
        self._deliveries.add(delivery)
        delivery.add_done_callback(self._deliveries.discard)
        await self._clock.sleep(_CALL_LIMIT)
        return Err(Failure.unknown(Step.SEND, 'worker', 'no answer in time'))


class FaultBench(ShardBench):
    """Adds call traps, manual overrides and the naive model's checks."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.calls: dict[int, Calls] = {}
        self.out_spans: dict[str, list[list[float]]] = {one: [] for one in self.zones}
        self.cancelled_ms: dict[str, float] = {}
        self.strict_ids: set[str] = set()
        # A resumable task may reach its end on a worker that is cut off and, once
        # its lease has lapsed, again elsewhere. By the contract of `can_checkpoint`
        # only the recorded result has effect.
        self.loses_workers = False

    @property
    def now_ms(self) -> float:
        return self.clock.monotonic() / timedelta(milliseconds=1)

    def add_process(self, zone: ZoneName) -> Process:
        process = super().add_process(zone)
        calls = Calls(process, self.clock)
        self.calls[id(process)] = calls
        # The process has not taken its first step; it meets the watched parts.
        process.controls.update(
            {
                worker: Watched(control, _CONTROL_CALLS, calls)
                for worker, control in process.controls.items()
            }
        )
        for name in _STORE_CALLS:
            inner = getattr(process.store, name)
            watched_call = _watch_method(inner, name, calls)
            setattr(process.store, name, watched_call)
        return process

    def control(self, process: Process, worker: str) -> MemoryWorkerControl:
        """Returns the control with its fault attributes."""
        found = process.controls[worker]
        return found._target if isinstance(found, Watched) else found

    def owner(self, zone: ZoneName = LAITA) -> Process:
        return self.owners_of(zone)[0]

    def calls_of(self, process: Process) -> Calls:
        return self.calls[id(process)]

    async def switch(self, zone: ZoneName, *, out: bool) -> None:
        """Takes a zone out or back and notes when."""
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
            self.calls_of(process).trap = None
            self.calls_of(process).late_by.clear()
            self.calls_of(process).lost_answers.clear()
            self.calls_of(process).cut_after_loss = False
            for worker in process.controls:
                control = self.control(process, worker)
                control.unreachable = False
                control.drop_answers = 0

    def check_model(self, tally: Tally) -> None:
        """Holds all runs so far against the naive model."""
        runs = model.runs_of(self.workers)
        found = {
            Promise.CAPACITY: model.overcommitted(self.workers, CAPACITY),
            Promise.ONCE_AT_A_TIME: model.overlapping(runs),
            Promise.EVICTION: [] if self.loses_workers else model.finished_twice(runs),
            Promise.AT_MOST_ONCE: model.ran_again(runs, self.strict_ids),
            Promise.CANCELLATION: model.started_after(runs, self.cancelled_ms, 0),
            Promise.ZONE_OUT: [
                one
                for zone, spans in self.out_spans.items()
                for one in model.late_starts(runs, zone, map(tuple, spans))
            ],
        }
        for promise, messages in found.items():
            for message in messages:
                tally.violation(message, promise)


def _watch_method(inner: Callable, name: str, calls: Calls) -> Callable:
    async def watched(*args: object, **options: object) -> object:
        key = str(args[0])
        await calls.pass_site(CallSite(name, key, done=False))
        answer = await inner(*args, **options)
        await calls.pass_site(CallSite(name, key, done=True))
        return answer

    return watched
