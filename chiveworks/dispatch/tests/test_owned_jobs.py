"""Jobs of client accounts under a leader."""

from dataclasses import replace

import msgpack
import pytest

from chiveworks.base import AccountName, JobId, Resources
from chiveworks.dispatch.tests.deployment import QUEUE, start_leader
from chiveworks.metastore import job_key
from chiveworks.workflow import (
    JobOwner,
    JobSpec,
    JobState,
    StepSpec,
    Submission,
    decode_final_owner,
    encode_submission,
)

KEY = job_key(JobId('j'))
SPEC = JobSpec('x', (StepSpec(1, Resources(1000, 1)),))
SUBMISSION = Submission(JobId('j'), QUEUE, SPEC, account=AccountName('a'))


async def test_the_final_record_keeps_the_account(deployment):
    """Guards against a job that other accounts can query once it has ended, also if
    the leader that took it is replaced."""
    deployment.store.put(KEY, encode_submission(SUBMISSION))
    first = await start_leader(deployment, 'a')
    await deployment.kill(first)
    await start_leader(deployment, 'b')
    await deployment.wait(3)
    assert await deployment.state('j') is JobState.COMPLETED
    stored = deployment.store.items[KEY].content
    assert decode_final_owner(stored) == JobOwner(AccountName('a'), QUEUE.name)


@pytest.mark.parametrize('cancelled', [False, True])
async def test_jobs_without_account_run_and_end_as_before(deployment, cancelled):
    """Guards against a job of an earlier version that a leader cannot take over, and
    against final records that change where there are no accounts."""
    submission = replace(SUBMISSION, account=AccountName(''), cancelled=cancelled)
    deployment.store.put(KEY, encode_submission(submission))
    await start_leader(deployment, 'a')
    await deployment.wait(3)
    state = 'cancelled' if cancelled else 'completed'
    assert deployment.store.items[KEY].content == msgpack.packb({'state': state})
