"""Tests of shard calls over gRPC on the loopback interface."""

import asyncio
from contextlib import AsyncExitStack
from datetime import timedelta
from random import Random
from typing import Any

import pytest

from chiveworks import membership as m
from chiveworks.base import EntryName, JobId, Step, SystemClock, Verdict
from chiveworks.membership.tests.relay import Relay
from chiveworks.membership.tests.support import (
    FAILURE,
    JOB,
    OTHER_ZONE,
    OVERRIDE,
    SHARD,
    TENANT,
    ZONE,
    FakeShard,
    free_address,
    owner_table,
    server,
)

SHORT = timedelta(seconds=0.3)
LONG = timedelta(seconds=3)
SUBMISSION = m.JobSubmission(TENANT, 'k', EntryName('recalculation'), ('a', 'b'))


@pytest.fixture
async def stack():
    async with AsyncExitStack() as entered:
        yield entered


@pytest.fixture
async def pool(stack):
    return await stack.enter_async_context(m.PeerPool(SystemClock(), Random(1)))


def shard_at(pool, address, timeout=LONG):
    client = m.ShardClient(m.LocalShard(OTHER_ZONE), owner_table(address), pool)
    return client.of_zone(ZONE, timeout)


async def test_every_call_is_transmitted_unchanged(stack, pool):
    """A field missing from a conversion would be lost without an error."""
    address, handler = free_address(), FakeShard()
    await stack.enter_async_context(server(address, handler))
    shard = shard_at(pool, address)
    resolution = m.OverrideResolution('o1', m.OverrideAction.REVERT, 'ines')
    transfer = m.JobTransfer(JobId('j1'), 4)
    registration = await shard.register(SUBMISSION)
    assert registration.unwrap() == m.JobRegistration(JOB, True)
    assert (await shard.cancel('j1')).unwrap() == JOB
    assert (await shard.transfer(transfer)).unwrap() == JOB
    assert (await shard.describe_job('j2')).unwrap() == JOB
    assert (await shard.list_jobs('billing')).unwrap() == (JOB, JOB)
    assert (await shard.resolve_override(resolution)).unwrap() == OVERRIDE
    assert (await shard.describe_shard()).unwrap() == SHARD
    requests = [SUBMISSION, 'j1', transfer, 'j2', 'billing', resolution, 'shard']
    assert handler.ended == requests


async def test_failure_of_the_handler_is_returned_unchanged(stack, pool):
    """The caller must get the owner's verdict and reason, not the transport's."""
    address = free_address()
    await stack.enter_async_context(server(address, FakeShard(failure=FAILURE)))
    result = await shard_at(pool, address).register(SUBMISSION)
    assert result.unwrap_err() == FAILURE


async def test_every_state_and_reason_has_a_wire_value():
    """A member without a counterpart in peer.proto would fail when it is sent."""
    from chiveworks.membership import _wire_failures as failures
    from chiveworks.membership import _wire_jobs as jobs
    from chiveworks.membership import _wire_shards as shards

    codecs: list[tuple[Any, Any]] = [
        (failures._VERDICTS, Verdict),
        (failures._STEPS, Step),
        (failures._REASONS, m.FailureReason),
        (jobs.JOB_STATES, m.JobState),
        (jobs.TASK_STATES, m.TaskState),
        (shards._OVERRIDE_KINDS, m.OverrideKind),
        (shards.OVERRIDE_ACTIONS, m.OverrideAction),
    ]
    for codec, kind in codecs:
        assert [codec.decode(codec.encode(member)) for member in kind] == list(kind)
    with pytest.raises(ValueError, match='UNSPECIFIED'):
        jobs.JOB_STATES.decode(0)


async def test_refused_connection_is_not_run_and_retried(stack, pool):
    """A peer that has recovered must be used again after the backoff."""
    address, handler = free_address(), FakeShard()
    shard = shard_at(pool, address)
    failure = (await shard.register(SUBMISSION)).unwrap_err()
    assert (failure.verdict, failure.step) == (Verdict.NOT_RUN, Step.CONNECT)
    assert pool.failing_addresses() == {address}
    await stack.enter_async_context(server(address, handler))
    async with asyncio.timeout(5):
        while (await shard.register(SUBMISSION)).is_err():
            await asyncio.sleep(0.05)
    assert handler.ended == [SUBMISSION]
    assert not pool.failing_addresses()


async def test_timeout_is_unknown_and_the_handler_runs_to_completion(stack, pool):
    """Stopping a handler between two writes would leave a half-registered job."""
    address, handler = free_address(), FakeShard(delay_s=0.6)
    await stack.enter_async_context(server(address, handler))
    result = await shard_at(pool, address, SHORT).register(SUBMISSION)
    failure = result.unwrap_err()
    assert (failure.verdict, failure.step) == (Verdict.OUTCOME_UNKNOWN, Step.WAIT)
    assert handler.started and not handler.ended
    await asyncio.sleep(0.5)
    assert handler.ended == [SUBMISSION]


async def test_connection_broken_during_a_call_is_unknown(stack, pool):
    """The request was sent, so the verdict *not run* would be wrong."""
    address, handler = free_address(), FakeShard(delay_s=0.3)
    await stack.enter_async_context(server(address, handler))
    relay = await stack.enter_async_context(Relay(address))
    call = asyncio.ensure_future(shard_at(pool, relay.address).register(SUBMISSION))
    while not handler.started:
        await asyncio.sleep(0.01)
    relay.cut()
    failure = (await call).unwrap_err()
    assert (failure.verdict, failure.step) == (Verdict.OUTCOME_UNKNOWN, Step.READ)


async def test_dead_connection_is_replaced(stack, pool):
    """A dead connection that was never closed must not be used forever."""
    address = free_address()
    await stack.enter_async_context(server(address, FakeShard()))
    relay = await stack.enter_async_context(Relay(address))
    shard = shard_at(pool, relay.address, SHORT)
    assert (await shard.describe_shard()).is_ok()
    relay.silence()
    failure = (await shard.describe_shard()).unwrap_err()
    assert failure.verdict is Verdict.OUTCOME_UNKNOWN
    assert (await shard.describe_shard()).is_ok()
    assert relay.connections == 2


async def test_not_owner_hint_is_followed_once(stack, pool):
    """Two processes that name each other as owner must not cause endless redirects."""
    stale, owner = free_address(), free_address()
    handler = FakeShard()
    await stack.enter_async_context(server(stale, owners=owner_table(owner)))
    owning = await stack.enter_async_context(server(owner, handler))
    shard = shard_at(pool, stale)
    assert (await shard.register(SUBMISSION)).is_ok()
    owning._shard.withdraw()
    owning._owners.update(owner_table(stale, epoch=2).records())
    failure = (await shard.register(SUBMISSION)).unwrap_err()
    assert failure.reason is m.FailureReason.NOT_OWNER
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.owner_address == stale
    assert handler.ended == [SUBMISSION]


async def test_own_shard_is_called_without_a_connection(pool):
    """The owner must serve local callers even if its gRPC server is blocked."""
    local, handler = m.LocalShard(ZONE), FakeShard()
    client = m.ShardClient(local, m.OwnerTable(), pool)
    failure = (await client.of_zone(ZONE).register(SUBMISSION)).unwrap_err()
    assert m.reason_of(failure) is m.FailureReason.NOT_OWNER
    local.serve(handler)
    assert (await client.of_zone(ZONE).register(SUBMISSION)).is_ok()
    assert (await client.of_zone(OTHER_ZONE).register(SUBMISSION)).is_err()
    assert handler.ended == [SUBMISSION]


async def test_handler_that_raises_is_unknown(stack, pool):
    """After an exception, it is unknown whether earlier writes took effect."""
    address, handler = free_address(), FakeShard(delay_s='no number')
    await stack.enter_async_context(server(address, handler))
    failure = (await shard_at(pool, address).register(SUBMISSION)).unwrap_err()
    assert failure.verdict is Verdict.OUTCOME_UNKNOWN
    assert failure.reason is m.FailureReason.INTERNAL
