"""Store client without a network, for unit tests."""

from datetime import timedelta
from typing import TypeVar

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, Revision, Step, StoreLeaseId
from chiveworks.store import StoreConflict, StoreRead, WatchBatch
from standins.store._engine import StoreEngine
from standins.store._faults import StoreFaults
from standins.store._rejection import Rejection

_Response = TypeVar('_Response')
_Refusal = StoreConflict | Rejection
_PEER = 'memory-store'
_DEFAULT_TIMEOUT = timedelta(seconds=2)


class MemoryStore:
    """Implementation of `chiveworks.store.Store` on a store engine, with faults.

    Several stores may share an engine, each with its own faults. A response that is
    delayed beyond `timeout` is lost, although a write has taken effect.
    """

    def __init__(
        self,
        engine: StoreEngine,
        clock: Clock,
        faults: StoreFaults | None = None,
        timeout: timedelta = _DEFAULT_TIMEOUT,
    ) -> None:
        self.engine = engine
        self.faults = faults or StoreFaults()
        self._clock = clock
        self._timeout = timeout

    async def fetch(self, key: str) -> Result[StoreRead, Failure]:
        """Reads one key."""
        if self.faults.outage:
            return _outage(Step.STORE_READ)
        return await self._respond_to_read(self.engine.fetch(key))

    async def list_prefix(self, prefix: str) -> Result[StoreRead, Failure]:
        """Reads all keys with a prefix."""
        if self.faults.outage:
            return _outage(Step.STORE_READ)
        return await self._respond_to_read(self.engine.list_prefix(prefix))

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: StoreLeaseId | None = None,
    ) -> Result[Revision, Failure | StoreConflict]:
        """Writes a key if its revision is `expected` (0: absent)."""
        if self.faults.outage:
            return _outage(Step.STORE_WRITE)
        outcome = self.engine.put(key, value, expected, lease)
        return await self._respond_to_write(
            outcome, dropped=self.faults.should_drop_response()
        )

    async def delete(
        self, key: str, expected: Revision
    ) -> Result[Revision, Failure | StoreConflict]:
        """Deletes a key if its revision is `expected`."""
        if self.faults.outage:
            return _outage(Step.STORE_WRITE)
        outcome = self.engine.delete(key, expected)
        return await self._respond_to_write(
            outcome, dropped=self.faults.should_drop_response()
        )

    async def grant_lease(self, ttl: timedelta) -> Result[StoreLeaseId, Failure]:
        """Creates a lease."""
        if self.faults.outage:
            return _outage(Step.STORE_WRITE)
        return await self._respond_to_lease_call(self.engine.grant_lease(ttl))

    async def renew_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Extends a lease; False when it has expired."""
        if self.faults.outage:
            return _outage(Step.STORE_WRITE)
        return await self._respond_to_lease_call(self.engine.renew_lease(lease))

    async def revoke_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Ends a lease and deletes its keys."""
        if self.faults.outage:
            return _outage(Step.STORE_WRITE)
        return await self._respond_to_lease_call(self.engine.revoke_lease(lease))

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> Result[WatchBatch, Failure]:
        """Waits up to `wait` for changes under `prefix` later than `after`."""
        if self.faults.outage:
            return _outage(Step.STORE_READ)
        return await self._respond_to_read(await self.engine.watch(prefix, after, wait))

    async def _responds_in_time(self) -> bool:
        delay = timedelta(milliseconds=self.faults.delay_ms)
        if delay:
            await self._clock.sleep(min(delay, self._timeout))
        return delay <= self._timeout

    async def _respond_to_read(self, response: _Response) -> Result[_Response, Failure]:
        if await self._responds_in_time():
            return Ok(response)
        return Err(Failure.not_run(Step.STORE_READ, _PEER, 'no response in time'))

    async def _respond_to_lease_call(
        self, response: _Response
    ) -> Result[_Response, Failure]:
        if await self._responds_in_time():
            return Ok(response)
        return Err(Failure.unknown(Step.STORE_WRITE, _PEER, 'no response in time'))

    async def _respond_to_write(
        self,
        outcome: Result[Revision, StoreConflict] | Result[Revision, _Refusal],
        *,
        dropped: bool,
    ) -> Result[Revision, Failure | StoreConflict]:
        if dropped or not await self._responds_in_time():
            return Err(Failure.unknown(Step.STORE_WRITE, _PEER, 'response lost'))
        if isinstance(outcome, Ok):
            return outcome
        refusal = outcome.err_value
        if isinstance(refusal, Rejection):
            return Err(Failure.not_run(Step.STORE_WRITE, _PEER, refusal.value))
        return Err(refusal)


def _outage(step: Step) -> Err[Failure]:
    return Err(Failure.not_run(step, _PEER, 'the store is unavailable'))
