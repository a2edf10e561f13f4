"""Tests lease expiry, write outcomes after faults, and watches of the store."""

import asyncio
from datetime import timedelta

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from chiveworks.base import Failure, ManualClock, Revision, Step, SystemClock, Verdict
from chiveworks.store import HttpStore, StoreConflict
from standins.store import MemoryStore, StoreEngine, StoreFaults, create_app

SECOND = timedelta(seconds=1)
ABSENT = Revision(0)


def memory_store(history_limit=100):
    clock = ManualClock()
    return clock, MemoryStore(StoreEngine(clock, history_limit), clock)


async def test_expired_lease_removes_its_keys_and_wakes_the_watch():
    clock, store = memory_store()
    lease = (await store.grant_lease(9 * SECOND)).unwrap()
    await store.compare_and_swap('a/owner', b'x', ABSENT, lease)
    watch = asyncio.ensure_future(store.watch('a/', Revision(1), 30 * SECOND))
    await clock.advance(8 * SECOND)
    assert (await store.renew_lease(lease)).unwrap()
    await clock.advance(8 * SECOND)
    assert not watch.done()
    await clock.advance(SECOND)
    events = (await watch).unwrap().events
    assert [(event.key, event.deleted) for event in events] == [('a/owner', True)]
    assert (await store.fetch('a/owner')).unwrap().first() is None
    assert not (await store.renew_lease(lease)).unwrap()


async def test_lost_response_is_unknown_although_the_write_took_effect():
    _, store = memory_store()
    store.faults.drop_answer_next = 1
    failure = (await store.compare_and_swap('k', b'1', ABSENT)).unwrap_err()
    assert failure.verdict is Verdict.OUTCOME_UNKNOWN
    assert (await store.fetch('k')).unwrap().first().value == b'1'
    conflict = (await store.compare_and_swap('k', b'2', ABSENT)).unwrap_err()
    assert conflict == StoreConflict('k', ABSENT, Revision(1))


async def test_watch_reports_compacted_history():
    _, store = memory_store(history_limit=2)
    for number in range(4):
        await store.compare_and_swap(f'k{number}', b'', ABSENT)
    assert (await store.watch('k', Revision(1), SECOND)).unwrap().compacted
    batch = (await store.watch('k', Revision(2), SECOND)).unwrap()
    assert [event.key for event in batch.events] == ['k2', 'k3']


async def test_late_response_to_a_write_is_unknown():
    clock, store = memory_store()
    store.faults.delay_ms = 5000
    write = asyncio.ensure_future(store.compare_and_swap('k', b'1', ABSENT))
    await clock.advance(2 * SECOND)
    assert (await write).unwrap_err().verdict is Verdict.OUTCOME_UNKNOWN
    assert store.engine.calls == {'write': 1}


def test_share_of_lost_responses_is_reproducible():
    def drops():
        faults = StoreFaults(drop_answer_share=0.3, seed=7)
        return [faults.should_drop_response() for _ in range(100)]

    assert drops() == drops()
    assert 15 < sum(drops()) < 45


@pytest.fixture
async def server():
    async with TestServer(create_app(SystemClock(), writes_per_s=50)) as running:
        yield running


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as opened:
        yield opened


@pytest.fixture
def store(server, session):
    return HttpStore(session, str(server.make_url('')).rstrip('/'))


async def set_faults(session, server, **faults):
    async with session.post(server.make_url('/faults'), json=faults) as response:
        assert response.status == 200


async def test_http_store_round_trip(store):
    lease = (await store.grant_lease(timedelta(seconds=9))).unwrap()
    # The key has characters that must be escaped in a URL.
    revision = (
        await store.compare_and_swap('p/å b', b'\x00\xff', ABSENT, lease)
    ).unwrap()
    entry = (await store.list_prefix('p/')).unwrap().first()
    assert (entry.key, entry.value) == ('p/å b', b'\x00\xff')
    conflict = (await store.compare_and_swap('p/å b', b'', ABSENT)).unwrap_err()
    assert conflict.found == revision
    watch = asyncio.ensure_future(store.watch('p/', revision, SECOND))
    assert (await store.revoke_lease(lease)).unwrap()
    assert (await watch).unwrap().events[0].deleted
    assert not (await store.renew_lease(lease)).unwrap()
    too_large = (
        await store.compare_and_swap('x', bytes(1_100_000), ABSENT)
    ).unwrap_err()
    assert isinstance(too_large, Failure)
    assert too_large.verdict is Verdict.NOT_RUN


async def test_http_write_with_lost_response_is_sent_once(store, server, session):
    # aiohttp retries PUT by itself. The second write would report a conflict with
    # the first.
    await store.fetch('k')
    await set_faults(session, server, drop_answer_next=1)
    failure = (await store.compare_and_swap('k', b'1', ABSENT)).unwrap_err()
    assert failure.verdict is Verdict.OUTCOME_UNKNOWN
    async with session.get(server.make_url('/stats')) as response:
        assert (await response.json())['write'] == 1


async def test_http_store_verdicts(store, server, session):
    await set_faults(session, server, outage=True)
    refused = (await store.compare_and_swap('k', b'1', ABSENT)).unwrap_err()
    assert refused.verdict is Verdict.NOT_RUN
    await set_faults(session, server, outage=False, delay_ms=400)
    short_timeout_store = HttpStore(
        session, store.base_url, timeout=timedelta(milliseconds=100)
    )
    assert (
        await short_timeout_store.fetch('k')
    ).unwrap_err().verdict is Verdict.NOT_RUN
    late = (await short_timeout_store.compare_and_swap('k', b'1', ABSENT)).unwrap_err()
    assert isinstance(late, Failure)
    assert late.verdict is Verdict.OUTCOME_UNKNOWN
    await server.close()
    unreachable = (await store.compare_and_swap('k', b'1', ABSENT)).unwrap_err()
    assert (unreachable.verdict, unreachable.step) == (Verdict.NOT_RUN, Step.CONNECT)


async def test_http_store_limits_writes(store):
    writes = [store.compare_and_swap(f'k{n}', b'', ABSENT) for n in range(120)]
    outcomes = await asyncio.gather(*writes)
    # The calls may fall into two windows of one second, with 50 writes each.
    assert 50 <= sum(outcome.is_ok() for outcome in outcomes) <= 100
