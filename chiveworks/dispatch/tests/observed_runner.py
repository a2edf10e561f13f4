"""In-memory workers whose runs are checked against the rule on second runs."""

from dataclasses import dataclass
from datetime import timedelta

from result import Ok

from chiveworks.dispatch import EndKind, OrderOutcome
from chiveworks.dispatch.tests.lasting_runner import LastingRunner

#: Shortest wait of a worker; shorter ones would slow random tests down.
TIMER_STEP = timedelta(milliseconds=25)


class WorkerClock:
    """Clock of a worker.

    Args:
        clock: Clock of the test.
        start: Reading at the start of the test.
        rate: Speed relative to the clock of the test.
    """

    def __init__(self, clock, start, rate):
        self._clock = clock
        self._start = start
        self._rate = rate

    def monotonic(self):
        """Returns the reading of the clock."""
        return self._start + self._clock.monotonic() * self._rate

    async def sleep(self, delay):
        """Waits for `delay` on this clock, at least for `TIMER_STEP`."""
        await self._clock.sleep(max(delay, TIMER_STEP) / self._rate)


@dataclass
class _DoneRun:
    """A run that has ended `done`, and whether its task was started again.

    Attributes:
        worker: Worker on which it ran.
        number: Number of its end on the worker.
        restarted: Whether a later run has been started.
        lapsed: Whether the lease lapsed before the end was acknowledged.
    """

    worker: str
    number: int
    restarted: bool = False
    lapsed: bool = False


class RunObserver:
    """Records what the rule on second runs forbids.

    Attributes:
        runners: Workers by name.
        violations: Descriptions of what was forbidden.
    """

    def __init__(self, runners):
        self.runners = runners
        self.violations = []
        self._open = {}
        self._acknowledged = {}

    def record_start(self, name, ref, attempt):
        """Records a start; no worker may run the task, nor may it be done."""
        others = [
            other
            for other, runner in sorted(self.runners.items())
            if other != name and ref in runner.running
        ]
        if others:
            self.violations.append(f'{ref} run {attempt} on {name} and on {others}')
        for done in self._open.get(ref, ()):
            done.restarted = True
        if ref in self._acknowledged:
            self.violations.append(f'{ref} was done and is started on {name}')

    def record_done(self, name, ref, number):
        """Records the end of a run that was done."""
        self._open.setdefault(ref, []).append(_DoneRun(name, number))

    def record_acknowledgement(self, name, number):
        """Records that a leader has taken note of the ends up to `number`."""
        for ref, done_runs in self._open.items():
            for done in tuple(done_runs):
                if done.worker != name or done.number > number:
                    continue
                done_runs.remove(done)
                if not done.lapsed:
                    self._acknowledged[ref] = done
                    if done.restarted:
                        self.violations.append(f'{ref} was done and started again')

    def record_lapse(self, name):
        """Records that the lease of a worker has lapsed."""
        for done_runs in self._open.values():
            for done in done_runs:
                done.lapsed = done.lapsed or done.worker == name


class ObservedRunner(LastingRunner):
    """Worker that reports starts and ends to an observer and may crash.

    Args:
        clock: Clock of the worker.
        observer: Checks the runs.
        name: Id of the worker.

    Attributes:
        replaced: Whether a worker with another id responds at this address.
    """

    def __init__(self, clock, observer, name):
        super().__init__(clock)
        self.replaced = False
        self._waiting_acknowledgement = 0
        self._observer = observer
        self._name = name

    def check_lapse(self):
        """Tells the observer if the lease has lapsed."""
        self._end_due_runs()
        if self._clock.monotonic() >= self._lease_end:
            self._observer.record_lapse(self._name)

    def crash(self):
        """Ends all runs and forgets everything."""
        self._observer.record_lapse(self._name)
        self.reachable = False
        self.token = 0
        self._lease_end = timedelta()
        self._runs.clear()
        self._ends.clear()
        self._end_count = 0
        self._highest_ended_attempt.clear()

    def attempts(self):
        """Returns the attempts of the current runs by task."""
        self._end_due_runs()
        return {ref: run.attempt for ref, run in self._runs.items()}

    async def poll(self, token, acknowledged, lease_end, wait, born_ms=0):
        """Polls the worker as a leader does."""
        if self.reachable and self.replaced:
            return Ok(None)
        if born_ms not in {0, self.born_ms}:
            acknowledged = 0
        if self.reachable and token >= self.token:
            self.check_lapse()
            self._observer.record_acknowledgement(self._name, acknowledged)
            self._waiting_acknowledgement = acknowledged
        try:
            return await super().poll(token, acknowledged, lease_end, wait, born_ms)
        finally:
            self._waiting_acknowledgement = 0

    def _start(self, order):
        if self.replaced:
            return OrderOutcome.GONE
        before = self.attempts()
        starts = len(self.history)
        outcome = super()._start(order)
        if len(self.history) > starts:
            if order.ref in before:
                self._observer.violations.append(
                    f'{order.ref} run {order.attempt} on {self._name} replaces '
                    f'run {before[order.ref]}'
                )
            self._observer.record_start(self._name, order.ref, order.attempt)
        return outcome

    def _end(self, ref, kind):
        super()._end(ref, kind)
        number = self._ends[-1].number
        if kind is EndKind.DONE:
            self._observer.record_done(self._name, ref, number)
        if number <= self._waiting_acknowledgement:
            # The poll that waits for an end has already acknowledged this one.
            self._observer.record_acknowledgement(self._name, number)
