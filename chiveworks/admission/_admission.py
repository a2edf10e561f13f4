"""Admission control for requests to services."""

import asyncio
from collections import Counter
from datetime import timedelta

from result import Err, Ok, Result

from chiveworks.admission._admission_request import AdmissionRequest
from chiveworks.admission._fair_queue import FairQueue, Waiter
from chiveworks.admission._limiter import LIMITERS
from chiveworks.admission._min_latency_estimate import MinLatencyEstimate
from chiveworks.admission._permit import Permit
from chiveworks.admission._settings import AdmissionSettings
from chiveworks.admission._tenant_limit_failure import TenantLimitFailure
from chiveworks.base import (
    Clock,
    EntryName,
    Failure,
    ServiceClass,
    Step,
    TenantName,
    TokenBucket,
)

_Key = tuple[TenantName, EntryName]
#: Tenant names come from a header, so callers can send any number of them; this
#: bounds the memory for their buckets.
_MAX_BUCKETS = 10_000
_NEXT_STEP = 'try again after a short wait'


class Admission:
    """Admits requests within concurrency and rate limits, fairly among tenants.

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
        self._count_by_key: Counter[_Key] = Counter()
        self._buckets: dict[_Key, TokenBucket] = {}
        self._min_latencies: dict[EntryName, MinLatencyEstimate] = {}

    @property
    def in_progress(self) -> int:
        """Number of admitted requests that have not ended."""
        return self._in_progress

    async def admit(self, request: AdmissionRequest) -> Result[Permit, Failure]:
        """Admits a request, waiting if necessary.

        Returns:
            The permit, or the failure that says why the request was refused.
        """
        refusal = (
            self._refuse_late(request)
            or self._refuse_batch(request)
            or self._refuse_concurrency(request)
            or self._refuse_rate(request)
        )
        if refusal is not None:
            return Err(refusal)
        if self._in_progress < self._limiter.limit() and not len(self._queue):
            return Ok(self._issue_permit(request))
        weight = self._settings.weights.get(request.tenant, 1)
        waiter = self._queue.push(request, weight)
        if waiter is None:
            return Err(_over_limit(request, 'the queue of the tenant is full'))
        return await self._wait(waiter)

    async def _wait(self, waiter: Waiter) -> Result[Permit, Failure]:
        request = waiter.request
        left = request.deadline - self._clock.monotonic()
        timeout = min(left, self._settings.longest_wait)
        timer = asyncio.ensure_future(self._clock.sleep(timeout))
        # A waiting request counts against the tenant's concurrency limit until the
        # wait ends; `_issue_permit` counts it again if it is admitted.
        self._count_by_key[_key(request)] += 1
        try:
            await asyncio.wait(
                (waiter.admitted, timer), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            if waiter.admitted.done():
                # Frees the place that `_admit_waiters` has already counted.
                self._in_progress -= 1
                self._admit_waiters()
            raise
        finally:
            timer.cancel()
            self._decrement_key(request)
            admitted = waiter.admitted.done()
            self._queue.cancel(waiter)
        if admitted:
            return Ok(self._issue_permit(request, counted=True))
        return Err(_refusal(request, 'timed out waiting for free capacity'))

    def _issue_permit(self, request: AdmissionRequest, counted: bool = False) -> Permit:
        """Returns a permit; `counted` if the request already counts as in progress."""
        if not counted:
            self._in_progress += 1
        self._count_by_key[_key(request)] += 1
        return Permit(request, self._clock.monotonic(), self._end_request)

    def _end_request(self, permit: Permit, dropped: bool) -> None:
        request = permit.request
        latency = self._clock.monotonic() - permit.admitted_at
        self._limiter.observe(latency, self._in_progress, dropped)
        if not dropped:
            self._min_latency(request.service).partial_fit(
                self._clock.monotonic(), latency
            )
        self._decrement_key(request)
        self._in_progress -= 1
        self._admit_waiters()

    def _admit_waiters(self) -> None:
        while self._in_progress < self._limiter.limit():
            waiter = self._queue.pop()
            if waiter is None:
                return
            # Counted here, so that a request that arrives before the waiter's task
            # runs cannot take its place.
            self._in_progress += 1
            waiter.admitted.set_result(None)

    def _decrement_key(self, request: AdmissionRequest) -> None:
        key = _key(request)
        self._count_by_key[key] -= 1
        if not self._count_by_key[key]:
            self._count_by_key.pop(key)

    def _min_latency(self, service: EntryName) -> MinLatencyEstimate:
        return self._min_latencies.setdefault(service, MinLatencyEstimate())

    def _refuse_late(self, request: AdmissionRequest) -> Failure | None:
        now = self._clock.monotonic()
        left = request.deadline - now
        if left <= timedelta():
            return _refusal(
                request, 'the deadline has passed', 'retry with a later deadline'
            )
        min_latency = self._min_latency(request.service).predict(now)
        rounds = len(self._queue) / max(self._limiter.limit(), 1)
        if min_latency * (1 + rounds) > left:
            return _refusal(
                request, 'the deadline cannot be met', 'retry with a later deadline'
            )
        return None

    def _refuse_batch(self, request: AdmissionRequest) -> Failure | None:
        if request.service_class is not ServiceClass.BATCH:
            return None
        allowed = self._limiter.limit() * self._settings.batch_share
        if self._in_progress >= max(allowed, 1):
            return _refusal(request, 'batch requests are shed under load')
        return None

    def _refuse_concurrency(self, request: AdmissionRequest) -> Failure | None:
        if (
            request.concurrency
            and self._count_by_key[_key(request)] >= request.concurrency
        ):
            return _over_limit(
                request, 'the concurrency limit of the tenant is reached'
            )
        return None

    def _refuse_rate(self, request: AdmissionRequest) -> Failure | None:
        if not request.rate_per_s:
            return None
        now = self._clock.monotonic()
        key = _key(request)
        burst = max(1, request.rate_per_s * self._settings.burst.total_seconds())
        bucket = self._buckets.pop(key, None)
        if bucket is None:
            bucket = TokenBucket(request.rate_per_s, burst, now)
        bucket.reconfigure(request.rate_per_s, burst)
        # Added at the end, so that the first bucket is the least recently used one,
        # which is evicted.
        self._buckets[key] = bucket
        if len(self._buckets) > _MAX_BUCKETS:
            self._buckets.pop(next(iter(self._buckets)))
        wait = bucket.try_take(now)
        if wait is None:
            return None
        seconds = wait.total_seconds()
        return _over_limit(
            request,
            'the rate limit of the tenant is reached',
            f'try again after {seconds:.3f} s',
        )


def _key(request: AdmissionRequest) -> _Key:
    return request.tenant, request.service


def _over_limit(
    request: AdmissionRequest, message: str, next_step: str = _NEXT_STEP
) -> TenantLimitFailure:
    return TenantLimitFailure.not_run(Step.ADMIT, request.service, message, next_step)


def _refusal(
    request: AdmissionRequest, message: str, next_step: str = _NEXT_STEP
) -> Failure:
    return Failure.not_run(Step.ADMIT, request.service, message, next_step)
