"""Guards against starved tenants, leaked slots and requests admitted too late."""

import asyncio
from datetime import timedelta

import pytest

from chiveworks.admission import (
    LIMITERS,
    AdaptiveLimiter,
    Admission,
    AdmissionRequest,
    AdmissionSettings,
)
from chiveworks.base import (
    EntryName,
    ManualClock,
    ServiceClass,
    Step,
    TenantName,
    Verdict,
)

SERVICE = EntryName('compteurs')


def request(tenant='a', deadline_s=60.0, batch=False, **limits) -> AdmissionRequest:
    kind = ServiceClass.BATCH if batch else ServiceClass.LATENCY_CRITICAL
    deadline = timedelta(seconds=deadline_s)
    return AdmissionRequest(TenantName(tenant), SERVICE, kind, deadline, **limits)


def admission(clock: ManualClock, limit: int = 1, **options) -> Admission:
    options = {'limiter': 'fixed', 'limit': limit, **options}
    return Admission(clock, AdmissionSettings(**options))


async def settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


async def serve_in_order(controller: Admission, tenants: str) -> str:
    """Queues one request per letter and returns the order in which they are admitted."""
    first = (await controller.admit(request('first'))).unwrap()
    order = ''

    async def one(tenant: str) -> None:
        nonlocal order
        admitted = await controller.admit(request(tenant))
        if admitted.is_ok():
            order += tenant
            await asyncio.sleep(0)
            admitted.unwrap().release()

    tasks = [asyncio.ensure_future(one(tenant)) for tenant in tenants]
    await settle()
    first.release()
    await asyncio.gather(*tasks)
    assert controller.in_progress == 0
    return order


async def test_a_flooding_tenant_only_delays_itself():
    """Guards against a shared queue in which one tenant delays all others."""
    controller = admission(ManualClock())
    assert await serve_in_order(controller, 'a' * 10 + 'bc') == 'abc' + 'a' * 9


async def test_weights_share_the_capacity():
    """Guards against weights that have no effect on the order of admission."""
    controller = admission(ManualClock(), weights={TenantName('a'): 2})
    order = await serve_in_order(controller, 'a' * 12 + 'b' * 12)
    assert order[:12].count('a') == 8


async def test_the_queue_of_a_tenant_is_bounded():
    """Guards against memory that grows with the waiting requests of one tenant."""
    controller = admission(ManualClock(), queue_per_tenant=3)
    assert await serve_in_order(controller, 'aaaaab') == 'abaa'


async def test_a_wait_that_ends_early_is_no_longer_counted():
    """Guards against capacity lost to requests that gave up or were cancelled."""
    clock = ManualClock()
    controller = admission(clock)
    permit = (await controller.admit(request())).unwrap()
    late = asyncio.ensure_future(controller.admit(request(deadline_s=1, concurrency=2)))
    cancelled = asyncio.ensure_future(controller.admit(request()))
    await settle()
    cancelled.cancel()
    await clock.advance(timedelta(seconds=1))
    failure = (await late).unwrap_err()
    assert (failure.verdict, failure.step) == (Verdict.NOT_RUN, Step.ADMIT)
    permit.release()
    permit.release()
    assert controller.in_progress == 0
    assert (await controller.admit(request(concurrency=1))).is_ok()


async def test_a_request_cancelled_just_after_its_admission_frees_its_place():
    """Guards against capacity lost if the cancellation overtakes the permit."""
    controller = admission(ManualClock())
    permit = (await controller.admit(request())).unwrap()
    waiting = asyncio.ensure_future(controller.admit(request()))
    await settle()
    permit.release()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert controller.in_progress == 0


async def test_rate_limit_per_tenant():
    """Guards against a rate limit without effect, or one shared by all tenants."""
    clock = ManualClock()
    controller = admission(clock, limit=100)

    async def admitted(tenant: str, count: int) -> int:
        wanted = [request(tenant, rate_per_s=5) for _ in range(count)]
        return sum([(await controller.admit(one)).is_ok() for one in wanted])

    assert await admitted('a', 8) == 5
    assert await admitted('b', 8) == 5
    clock.shift(timedelta(milliseconds=400))
    assert await admitted('a', 8) == 2


async def test_concurrency_limit_per_tenant():
    """Guards against a concurrency limit without effect, or shared by all tenants."""
    controller = admission(ManualClock(), limit=100)
    permit = (await controller.admit(request(concurrency=1))).unwrap()
    assert (await controller.admit(request(concurrency=1))).is_err()
    assert (await controller.admit(request('b', concurrency=1))).is_ok()
    permit.release()
    assert (await controller.admit(request(concurrency=1))).is_ok()


async def test_batch_is_shed_before_latency_critical_requests():
    """Guards against batch requests that use up the whole limit."""
    controller = admission(ManualClock(), limit=10)
    for _ in range(7):
        assert (await controller.admit(request(batch=True))).is_ok()
    assert (await controller.admit(request(batch=True))).is_err()
    assert (await controller.admit(request())).is_ok()


async def test_deadlines_that_cannot_be_met_are_refused_until_the_estimate_fades():
    """Guards against useless work, and one slow response that refuses all others."""
    clock = ManualClock()
    controller = admission(clock)
    assert (await controller.admit(request(deadline_s=0))).is_err()
    permit = (await controller.admit(request())).unwrap()
    clock.shift(timedelta(seconds=2))
    permit.release()
    assert (await controller.admit(request(deadline_s=3))).is_err()
    clock.shift(timedelta(seconds=30))
    assert (await controller.admit(request(deadline_s=33))).is_ok()


def test_the_adaptive_limit_settles_near_the_capacity_of_the_endpoints():
    """Guards against a limit that stays too high or low when the capacity changes.

    Latency is 10 ms up to the capacity and grows with the queue beyond it.
    """
    limiter = AdaptiveLimiter(400)
    limiter.observe(timedelta(milliseconds=10), 1, dropped=False)

    def run(capacity: int) -> int:
        for _ in range(20_000):
            latency_ms = 10 * max(1, limiter.limit() / capacity)
            latency = timedelta(milliseconds=latency_ms)
            limiter.observe(latency, limiter.limit(), dropped=False)
        return limiter.limit()

    assert 50 <= run(capacity=50) <= 100
    assert 200 <= run(capacity=200) <= 400
    assert 50 <= run(capacity=50) <= 100


def test_an_unused_limit_stays_and_dropped_requests_lower_it():
    """Guards against a limit that grows without load or ignores dropped requests."""
    limiter = AdaptiveLimiter(100)
    limiter.observe(timedelta(milliseconds=10), 1, dropped=False)
    assert limiter.limit() == 100
    limiter.observe(timedelta(), 1, dropped=True)
    assert limiter.limit() < 100


def test_the_error_for_an_unknown_limiter_names_the_known_ones():
    """Guards against settings whose error does not say which names are valid."""
    assert LIMITERS.names() == ('adaptive', 'fixed')
    with pytest.raises(ValueError, match='adaptive, fixed'):
        LIMITERS.create('none')
