"""Links from processes to the store and to workers, with faults that end by themselves."""

import asyncio
from datetime import timedelta

from result import Err

from chiveworks.base import Failure, Step
from chiveworks.dispatch import OrderOutcome

#: Interval at which a watch looks for changes.
WATCH_STEP = timedelta(milliseconds=25)


class StoreLink:
    """Metadata store as one process reaches it.

    Args:
        store: The store.
        clock: Clock of the test.
        rng: Draws what happens to writes whose responses are lost.
        spawn: Runs a coroutine in the background.

    Attributes:
        refused_until: Until when all calls are refused.
        read_only_until: Until when transactions are refused, but no other calls.
        lossy_until: Until when writes get no responses.
    """

    def __init__(self, store, clock, rng, spawn):
        self.refused_until = timedelta()
        self.read_only_until = timedelta()
        self.lossy_until = timedelta()
        self._store = store
        self._clock = clock
        self._rng = rng
        self._spawn = spawn

    async def read(self, key, *, stale=False):
        """Reads one key."""
        return self._refusal() or await self._store.read(key)

    async def read_all(self, prefix):
        """Reads all keys with a prefix."""
        return self._refusal() or await self._store.read_all(prefix)

    async def watch(self, prefix, after, wait):
        """Waits for changes."""
        deadline = self._clock.monotonic() + wait
        while True:
            if self._refusal():
                return self._refusal()
            batch = await self._store.watch(prefix, after, timedelta())
            if batch.ok_value.items or self._clock.monotonic() >= deadline:
                return batch
            after = batch.ok_value.revision
            await self._clock.sleep(WATCH_STEP)

    async def commit(self, transaction):
        """Applies a transaction, now or later, or refuses it."""
        if self._clock.monotonic() < max(self.refused_until, self.read_only_until):
            return _refused()
        if self._clock.monotonic() >= self.lossy_until:
            return await self._store.commit(transaction)
        fate = self._rng.choice(('lost', 'applied', 'late'))
        if fate == 'applied':
            await self._store.commit(transaction)
        elif fate == 'late':
            delay = timedelta(milliseconds=self._rng.choice((10, 40, 200, 1500)))
            self._spawn(self._commit_late(transaction, delay))
        return _no_response()

    async def grant_lease(self, ttl):
        """Creates a lease."""
        return self._refusal() or await self._store.grant_lease(ttl)

    async def renew_lease(self, lease):
        """Renews a lease; its response may be lost."""
        if self._refusal():
            return self._refusal()
        renewed = await self._store.renew_lease(lease)
        is_lossy = self._clock.monotonic() < self.lossy_until
        return _no_response() if is_lossy else renewed

    async def revoke_lease(self, lease):
        """Ends a lease."""
        return self._refusal() or await self._store.revoke_lease(lease)

    async def _commit_late(self, transaction, delay):
        await self._clock.sleep(delay)
        await self._store.commit(transaction)

    def _refusal(self):
        return _refused() if self._clock.monotonic() < self.refused_until else None


class WorkerLink:
    """A worker as one process reaches it.

    Args:
        runner: The worker.
        clock: Clock of the test.
        spawn: Runs a coroutine in the background.

    Attributes:
        cut_until: Until when calls neither reach the worker nor get a response.
        lossy_until: Until when calls are executed but get no response.
        late_until: Until when starts are late.
        start_delay: Delay of late starts, which also arrive if the caller has ended.
    """

    def __init__(self, runner, clock, spawn):
        self.cut_until = timedelta()
        self.lossy_until = timedelta()
        self.late_until = timedelta()
        self.start_delay = timedelta()
        self._runner = runner
        self._clock = clock
        self._spawn = spawn

    async def start(self, order):
        """Starts a run."""
        if self.is_cut:
            return OrderOutcome.UNKNOWN
        if self._clock.monotonic() < self.late_until:
            late_start = self._spawn(self._start_late(order, self.start_delay))
            return self._receive(await asyncio.shield(late_start))
        return self._receive(await self._runner.start(order))

    async def stop(self, ref, attempt, token):
        """Stops a run."""
        if self.is_cut:
            return OrderOutcome.UNKNOWN
        return self._receive(await self._runner.stop(ref, attempt, token))

    async def set_pace(self, ref, attempt, percent, token):
        """Sets the pace of a run."""
        if self.is_cut:
            return OrderOutcome.UNKNOWN
        return await self._runner.set_pace(ref, attempt, percent, token)

    async def poll(self, token, acknowledged, lease_end, wait, born_ms=0):
        """Polls the worker."""
        if self.is_cut:
            return _no_response()
        report = await self._runner.poll(token, acknowledged, lease_end, wait, born_ms)
        return _no_response() if self._is_lost() else report

    async def reset(self):
        """Does nothing; there are no connections."""

    async def close(self):
        """Does nothing; there are no connections."""

    @property
    def is_cut(self):
        """Whether calls do not reach the worker."""
        return self._clock.monotonic() < self.cut_until

    def _is_lost(self):
        return self._clock.monotonic() < max(self.cut_until, self.lossy_until)

    def _receive(self, outcome):
        return OrderOutcome.UNKNOWN if self._is_lost() else outcome

    async def _start_late(self, order, delay):
        await self._clock.sleep(delay)
        return await self._runner.start(order)


def _no_response():
    return Err(Failure.unknown(Step.RENEW, 'peer', 'no response'))


def _refused():
    return Err(Failure.not_run(Step.STORE_WRITE, 'store', 'refused'))
