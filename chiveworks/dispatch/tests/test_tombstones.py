"""Tests of jobs that were cancelled before the store applied their submission."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId
from chiveworks.dispatch._scheduler import TOMBSTONE_RETENTION
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.intake import IntakeVerdict
from chiveworks.metastore import JOB_PREFIX, job_key
from chiveworks.workflow import JobState, Tombstone, encode_tombstone

MARGIN = timedelta(seconds=1)
TOMBSTONE = encode_tombstone(Tombstone(cancelled=True))
REFUSAL = encode_tombstone(Tombstone(cancelled=False))


async def _cancel(deployment, name):
    call = deployment.spawn(deployment.intake.cancel(JobId(name)))
    await deployment.wait(0.05)
    return call.result()


async def test_a_job_that_is_stored_after_its_cancelling_does_not_run(deployment):
    """Guards against tasks that start seconds after the cancelling of their job was
    acknowledged, since the store applied the submission late."""
    await start_leader(deployment)
    deployment.store.faults.delay_writes = 1000
    deployment.spawn(deployment.submit('j'))
    await deployment.wait(0.01)
    deployment.store.faults.delay_writes = 0
    assert await _cancel(deployment, 'j') is IntakeVerdict.NOT_FOUND
    deployment.store.apply_delayed()
    await deployment.wait(5)
    assert not deployment.starts()
    assert await deployment.state('j') is IntakeVerdict.NOT_FOUND


async def test_leaders_remove_tombstones(deployment):
    """Guards against tombstones that stay in the store for good, or are removed while a
    submission may still be applied."""
    first = await start_leader(deployment, 'a')
    await _cancel(deployment, 'j')
    await deployment.kill(first)
    await start_leader(deployment, 'b')
    await deployment.clock.advance(TOMBSTONE_RETENTION - MARGIN)
    assert job_key(JobId('j')) in deployment.store.items
    await deployment.clock.advance(2 * MARGIN)
    assert job_key(JobId('j')) not in deployment.store.items
    await deployment.submit('j')
    await deployment.wait(2)
    assert await deployment.state('j') is JobState.COMPLETED


async def test_many_tombstones_are_removed_within_seconds(deployment):
    """Guards against records that pile up because only a few are removed at a time."""
    await start_leader(deployment)
    for number in range(2000):
        deployment.store.put(job_key(JobId(f'unknown-{number}')), TOMBSTONE)
    await deployment.clock.advance(TOMBSTONE_RETENTION + 4 * MARGIN)
    assert not [key for key in deployment.store.items if key.startswith(JOB_PREFIX)]


@pytest.mark.parametrize('delay_ms', [0, 100, 300, 500, 700])
async def test_a_job_that_replaces_its_tombstone_is_kept(deployment, delay_ms):
    """Guards against an accepted job that is deleted: the removal of the tombstone of its
    refusal was due, and took the submission that had replaced it."""
    await start_leader(deployment)
    deployment.evacuated.add('zone')
    key = job_key(JobId('j'))
    deployment.store.put(key, REFUSAL)
    await deployment.clock.advance(TOMBSTONE_RETENTION)
    await deployment.wait(delay_ms / 1000)
    assert await deployment.submit('j') is IntakeVerdict.ACCEPTED
    await deployment.wait(5)
    assert await deployment.state('j') is JobState.QUEUED


async def test_a_removal_that_is_applied_late_keeps_a_job(deployment):
    """Guards against an accepted job that is deleted by a removal that the store carries
    out seconds after it was sent."""
    await start_leader(deployment)
    deployment.evacuated.add('zone')
    key = job_key(JobId('j'))
    deployment.store.put(key, REFUSAL)
    await deployment.clock.advance(TOMBSTONE_RETENTION - MARGIN)
    deployment.store.faults.delay_writes = 1000
    await deployment.wait(2)
    deployment.store.faults.delay_writes = 0
    if key in deployment.store.items:
        await deployment.submit('j')
    deployment.store.apply_delayed()
    await deployment.wait(5)
    assert await deployment.state('j') is JobState.QUEUED


async def test_a_tombstone_that_is_written_again_is_kept_as_long_again(deployment):
    """Guards against a submission that the store applies late, after a cancelling that
    found a tombstone which was about to be removed."""
    await start_leader(deployment)
    key = job_key(JobId('j'))
    deployment.store.put(key, REFUSAL)
    await deployment.clock.advance(TOMBSTONE_RETENTION - MARGIN)
    assert await _cancel(deployment, 'j') is IntakeVerdict.NOT_FOUND
    await deployment.clock.advance(TOMBSTONE_RETENTION - MARGIN)
    assert key in deployment.store.items
    await deployment.clock.advance(3 * MARGIN)
    assert key not in deployment.store.items
