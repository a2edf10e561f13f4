"""In-memory worker that loses orders or responses, or executes orders late."""

from datetime import timedelta

from chiveworks.dispatch import OrderOutcome
from standins.runners import MemoryRunner

#: Maximum time from an order without a response to its execution.
LATENESS_LIMIT = timedelta(seconds=2)
#: Payload of jobs whose runs do not end on their own.
LASTING = 'lasting'
LASTING_RUN_TIME = timedelta(days=1)


class UnreliableRunner(MemoryRunner):
    """Worker with random faults of single orders.

    Runs take between 0.5 and 3 s, or `LASTING_RUN_TIME` if the payload is `LASTING`.

    Args:
        clock: Clock of the worker.
        rng: Source of the faults.
        spawn: Runs a coroutine in the background.

    Attributes:
        unreliable: Whether orders may be lost, executed without a response or
            executed late.
    """

    def __init__(self, clock, rng, spawn):
        super().__init__(clock, timedelta(seconds=rng.uniform(0.5, 3)))
        self.unreliable = False
        self._rng = rng
        self._spawn = spawn
        self._left = False

    async def start(self, order):
        return await self._order(super().start, order)

    async def stop(self, *order):
        return await self._order(super().stop, *order)

    def leave(self):
        """Ends everything that runs and refuses further starts."""
        self._left = True
        self._runs.clear()

    def _start(self, order):
        if self._left:
            return OrderOutcome.GONE
        outcome = super()._start(order)
        run = self._runs.get(order.ref)
        if run is not None and order.payload == LASTING:
            run.ends_at = LASTING_RUN_TIME
        return outcome

    async def _order(self, execute, *order):
        if not self.unreliable or self._rng.random() < 0.2:
            return await execute(*order)
        fault = self._rng.choice(('lost', 'response lost', 'late'))
        if fault == 'response lost':
            await execute(*order)
        elif fault == 'late':
            self._spawn(self._execute_late(execute, *order))
        return OrderOutcome.UNKNOWN

    async def _execute_late(self, execute, *order):
        await self._clock.sleep(LATENESS_LIMIT * self._rng.random())
        await execute(*order)
