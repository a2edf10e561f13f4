"""Tests how long the records of ended jobs stay in the store."""

from dataclasses import replace
from datetime import timedelta

import pytest

from chiveworks.base import JobId
from chiveworks.dispatch.tests import deployment as deployment_module
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.intake import IntakeVerdict
from chiveworks.metastore import job_key
from chiveworks.workflow import JobState

RETENTION = timedelta(seconds=10)
MARGIN = timedelta(seconds=1)


@pytest.fixture(autouse=True)
def _short_retention(monkeypatch):
    bounds = replace(deployment_module.BOUNDS, retention=RETENTION)
    monkeypatch.setattr(deployment_module, 'BOUNDS', bounds)


async def test_the_next_leader_removes_the_records_of_jobs_that_ended_before(
    deployment,
):
    """Guards against records that stay in the store for good after the leader that
    ended their jobs was replaced."""
    first = await start_leader(deployment, 'a')
    await _complete(deployment, 'j')
    await deployment.kill(first)
    deployment.process('b')
    await deployment.clock.advance(RETENTION + MARGIN)
    assert await deployment.state('j') is JobState.COMPLETED
    await deployment.clock.advance(RETENTION + MARGIN)
    assert await deployment.state('j') is IntakeVerdict.NOT_FOUND
    assert job_key(JobId('j')) not in deployment.store.items


async def test_a_leader_removes_the_records_of_jobs_that_it_ended(deployment):
    """Guards against records of a leader's own jobs that are removed too early, never,
    or more than once."""
    await start_leader(deployment, 'a')
    removed = _record_removals(deployment.leaders['a']._term)
    await _complete(deployment, 'j')
    await deployment.clock.advance(2 * RETENTION - MARGIN)
    assert await deployment.state('j') is JobState.COMPLETED
    await deployment.clock.advance(2 * MARGIN)
    assert await deployment.state('j') is IntakeVerdict.NOT_FOUND
    await deployment.clock.advance(RETENTION)
    assert removed == [job_key(JobId('j'))]


async def test_a_relisted_record_keeps_its_age(deployment):
    """Guards against records that are kept for longer each time the jobs are listed
    again, as after a lost history of the store."""
    await start_leader(deployment, 'a')
    await _complete(deployment, 'j')
    await deployment.clock.advance(2 * RETENTION - MARGIN)
    deployment.store.faults.compact = True
    await deployment.clock.advance(2 * MARGIN)
    assert await deployment.state('j') is IntakeVerdict.NOT_FOUND


async def test_a_job_submitted_again_after_its_record_was_deleted_is_kept(deployment):
    """Guards against the removal of an open job whose id had an earlier record."""
    await start_leader(deployment, 'a')
    await _complete(deployment, 'j')
    deployment.store.remove(job_key(JobId('j')))
    await deployment.clock.advance(2 * RETENTION - MARGIN)
    deployment.evacuated.add('zone')
    await deployment.submit('j')
    await deployment.clock.advance(2 * MARGIN)
    assert await deployment.state('j') is JobState.QUEUED


def _record_removals(term):
    removed = []
    remove = term.remove_unchanged

    async def record(revisions):
        removed.extend(revisions)
        return await remove(revisions)

    term.remove_unchanged = record
    return removed


async def _complete(deployment, name):
    await deployment.submit(name)
    await deployment.wait(2)
    assert await deployment.state(name) is JobState.COMPLETED
