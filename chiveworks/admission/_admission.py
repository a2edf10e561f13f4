"""Admission of requests."""

import asyncio
from collections import Counter
from datetime import timedelta

from result import Err, Ok, Result

from chiveworks.admission._demand import Demand
from chiveworks.admission._fair_queue import FairQueue, Waiter
from chiveworks.admission._latency_floor import LatencyFloor
from chiveworks.admission._limiter import LIMITERS
from chiveworks.admission._permit import Permit
from chiveworks.admission._settings import AdmissionSettings
from chiveworks.admission._tenant_limit_failure import TenantLimitFailure
from chiveworks.admission._token_bucket import TokenBucket
from chiveworks.base import Clock, EntryName, Failure, ServiceClass, Step, TenantName

_Key = tuple[TenantName, EntryName]
#: Tenants come from a header; this bounds what a caller who invents names costs.
_MAX_BUCKETS = 10_000
_NEXT_STEP = 'try again after a short wait'


class Admission:
    """Lets requests run within limits, fairly among tenants.

    Args:
        clock: Source of time.
        settings: Parameters of admission.
    """

    def __init__(self, clock: Clock, settings: AdmissionSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._limiter = LIMITERS.create(settings.limiter, limit=settings.limit)
        self._queue = FairQueue(settings.queue_per_tenant)
        self._in_progress = 0
        self._by_key: Counter[_Key] = Counter()
        self._buckets: dict[_Key, TokenBucket] = {}
        self._floors: dict[EntryName, LatencyFloor] = {}

    @property
    def in_progress(self) -> int:
        """Requests admitted and not ended."""
        return self._in_progress

    async def admit(self, demand: Demand) -> Result[Permit, Failure]:
        """Admits a request, after a wait if need be, or says why not."""
        refusal = (
            self._refuse_late(demand)
            or self._refuse_batch(demand)
            or self._refuse_concurrency(demand)
            or self._refuse_rate(demand)
        )
        if refusal is not None:
            return Err(refusal)
        if self._in_progress < self._limiter.limit() and not len(self._queue):
            return Ok(self._start(demand))
        weight = self._settings.weights.get(demand.tenant, 1)
        waiter = self._queue.push(demand, weight)
        if waiter is None:
            return Err(_over_limit(demand, 'the queue of the tenant is full'))
        return await self._wait(waiter)

    async def _wait(self, waiter: Waiter) -> Result[Permit, Failure]:
        demand = waiter.demand
        left = demand.deadline - self._clock.monotonic()
        patience = min(left, self._settings.longest_wait)
        timer = asyncio.ensure_future(self._clock.sleep(patience))
        # A place is counted before the wait; it is given back if the wait ends
        # otherwise.
        self._by_key[_key(demand)] += 1
        try:
            await asyncio.wait(
                (waiter.admitted, timer), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            if waiter.admitted.done():
                self._in_progress -= 1
                self._wake()
            raise
        finally:
            timer.cancel()
            self._leave_key(demand)
            admitted = waiter.admitted.done()
            self._queue.cancel(waiter)
        if admitted:
            return Ok(self._start(demand, counted=True))
        return Err(_refusal(demand, 'no capacity became free in time'))

    def _start(self, demand: Demand, counted: bool = False) -> Permit:
        if not counted:
            self._in_progress += 1
        self._by_key[_key(demand)] += 1
        return Permit(demand, self._clock.monotonic(), self._end)

    def _end(self, permit: Permit, dropped: bool) -> None:
        demand = permit.demand
        latency = self._clock.monotonic() - permit.admitted_at
        self._limiter.observe(latency, self._in_progress, dropped)
        if not dropped:
            self._floor(demand.service).partial_fit(self._clock.monotonic(), latency)
        self._leave_key(demand)
        self._in_progress -= 1
        self._wake()

    def _wake(self) -> None:
        while self._in_progress < self._limiter.limit():
            waiter = self._queue.pop()
            if waiter is None:
                return
            # Counted here, so that no request that comes in before the waiter
            # runs takes its place.
            self._in_progress += 1
            waiter.admitted.set_result(None)

    def _leave_key(self, demand: Demand) -> None:
        key = _key(demand)
        self._by_key[key] -= 1
        if not self._by_key[key]:
            self._by_key.pop(key)

    def _floor(self, service: EntryName) -> LatencyFloor:
        return self._floors.setdefault(service, LatencyFloor())

    def _refuse_late(self, demand: Demand) -> Failure | None:
        now = self._clock.monotonic()
        left = demand.deadline - now
        if left <= timedelta():
            return _refusal(demand, 'the deadline has passed', 'allow more time')
        floor = self._floor(demand.service).predict(now)
        rounds = len(self._queue) / max(self._limiter.limit(), 1)
        if floor * (1 + rounds) > left:
            return _refusal(demand, 'the deadline cannot be met', 'allow more time')
        return None

    def _refuse_batch(self, demand: Demand) -> Failure | None:
        if demand.service_class is not ServiceClass.BATCH:
            return None
        allowed = self._limiter.limit() * self._settings.batch_share
        if self._in_progress >= max(allowed, 1):
            return _refusal(demand, 'batch requests are shed under load')
        return None

    def _refuse_concurrency(self, demand: Demand) -> Failure | None:
        if demand.concurrency and self._by_key[_key(demand)] >= demand.concurrency:
            return _over_limit(demand, 'the concurrency limit of the tenant is reached')
        return None

    def _refuse_rate(self, demand: Demand) -> Failure | None:
        if not demand.rate_per_s:
            return None
        now = self._clock.monotonic()
        key = _key(demand)
        burst = max(1, demand.rate_per_s * self._settings.burst.total_seconds())
        bucket = self._buckets.pop(key, None)
        if bucket is None:
            bucket = TokenBucket(demand.rate_per_s, burst, now)
        bucket.reconfigure(demand.rate_per_s, burst)
        # The most recently used bucket is the last; the first one goes.
        self._buckets[key] = bucket
        if len(self._buckets) > _MAX_BUCKETS:
            self._buckets.pop(next(iter(self._buckets)))
        wait = bucket.try_take(now)
        if wait is None:
            return None
        seconds = wait.total_seconds()
        return _over_limit(
            demand,
            'the rate limit of the tenant is reached',
            f'try again after {seconds:.3f} s',
        )


def _key(demand: Demand) -> _Key:
    return demand.tenant, demand.service


def _over_limit(
    demand: Demand, message: str, next_step: str = _NEXT_STEP
) -> TenantLimitFailure:
    return TenantLimitFailure.not_run(Step.ADMIT, demand.service, message, next_step)


def _refusal(demand: Demand, message: str, next_step: str = _NEXT_STEP) -> Failure:
    return Failure.not_run(Step.ADMIT, demand.service, message, next_step)
