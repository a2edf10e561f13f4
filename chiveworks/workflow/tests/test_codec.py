"""Encoding of jobs and of their progress for the store."""

from datetime import datetime, timedelta, timezone

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chiveworks.base import AccountName, JobId, RackName, Resources, WorkerId
from chiveworks.workflow import (
    Job,
    JobOwner,
    JobSpec,
    JobState,
    LapsedRun,
    QueuePolicy,
    Recurrence,
    StepSpec,
    Submission,
    TaskState,
    Tombstone,
    decode_final_owner,
    decode_record,
    encode_final_state,
    encode_progress,
    encode_submission,
    encode_tombstone,
    restore_progress,
)

AMOUNTS = st.integers(0, 10**9)
STEPS = st.builds(
    StepSpec,
    count=st.integers(1, 5),
    demand=st.builds(Resources, AMOUNTS, AMOUNTS, st.integers(0, 8)),
    estimate=st.integers(0, 10**6).map(lambda ms: timedelta(milliseconds=ms)),
    checkpointed=st.booleans(),
    gang=st.booleans(),
    required_label=st.text(max_size=5),
    data_rack=st.text(max_size=5).map(RackName),
    worker_limit=st.integers(0, 3),
    long_running=st.booleans(),
    image=st.text(max_size=5),
    latency_target=st.sampled_from((timedelta(), timedelta(milliseconds=18.5))),
    fills=st.booleans(),
    unavailable_limit=st.integers(0, 3),
)
RECURRENCE = Recurrence(
    3, datetime(2026, 5, 1, tzinfo=timezone.utc), timedelta(milliseconds=1500)
)
SUBMISSIONS = st.builds(
    Submission,
    st.just(JobId('5c0e7a21d94b36f8')),
    st.builds(QueuePolicy, st.text(max_size=8), st.text(max_size=8)),
    st.builds(
        JobSpec,
        st.text(max_size=50),
        st.lists(STEPS, min_size=1, max_size=3).map(tuple),
        st.sampled_from((None, RECURRENCE)),
    ),
    st.booleans(),
    st.just(datetime(2026, 5, 2, tzinfo=timezone.utc)),
    st.text(max_size=5).map(AccountName),
)


@given(SUBMISSIONS)
def test_a_submission_survives_storage(submission):
    """Guards against fields lost or swapped when a new leader decodes a record."""
    stored = encode_submission(submission)
    assert decode_record(submission.job_id, stored) == submission


def test_a_record_without_account_is_that_of_earlier_versions():
    """Guards against records of earlier versions that cannot be read, and against
    deployments without accounts whose records change."""
    submission = Submission(
        JobId('j'), QueuePolicy('q', 's'), JobSpec('x', (StepSpec(1, Resources(1)),))
    )
    fields = msgpack.unpackb(encode_submission(submission))
    assert 'account' not in fields
    assert decode_record(JobId('j'), msgpack.packb(fields)).account == ''
    fields['account'] = 5
    with pytest.raises(ValueError, match='account'):
        decode_record(JobId('j'), msgpack.packb(fields))


@given(SUBMISSIONS, st.data())
def test_progress_survives_storage(submission, source):
    """Guards against a new leader that restores other runs than were stored."""
    job = Job(submission, timedelta())
    job.open_occurrence(0)
    for task in job.tasks():
        if task.state is TaskState.DONE:
            continue
        step = source.draw(st.integers(0, 3))
        if step:
            task.claim(WorkerId('w'), 1, 'host:1')
            task.failures = step
        if step == 2:
            task.step_run.finish(task)
        if step == 3:
            task.checkpoint = 'c'
            task.release()
            task.lapsed = LapsedRun(WorkerId('w'), 'host:1', 1, task.attempt)
    job.started = source.draw(st.booleans())
    restored = Job(submission, timedelta())
    restore_progress(restored, encode_progress(job))
    assert restored.started == job.started
    assert _task_summaries(restored) == _task_summaries(job)


def test_a_terminal_state_is_distinguished_from_a_submission():
    """Guards against an ended job that a new leader decodes as a submission."""
    assert (
        decode_record(JobId('j'), encode_final_state(JobState.FAILED))
        is JobState.FAILED
    )


def test_a_final_record_keeps_the_owner_of_the_job():
    """Guards against a job that other accounts can query once it has ended."""
    owner = JobOwner(AccountName('a'), 'q')
    stored = encode_final_state(JobState.FAILED, owner)
    assert decode_record(JobId('j'), stored) is JobState.FAILED
    assert decode_final_owner(stored) == owner


def test_a_final_record_without_account_is_that_of_earlier_versions():
    """Guards against records of earlier versions that cannot be read, and against
    deployments without accounts whose records change."""
    stored = encode_final_state(JobState.FAILED, JobOwner(queue='q'))
    assert stored == msgpack.packb({'state': 'failed'})
    assert decode_final_owner(stored) == JobOwner()


@pytest.mark.parametrize('field', ['account', 'owner_queue'])
def test_a_final_record_with_an_odd_owner_is_rejected(field):
    """Guards against an error in the check of a caller."""
    with pytest.raises(ValueError, match='cannot be read'):
        decode_record(JobId('j'), msgpack.packb({'state': 'failed', field: 5}))


@pytest.mark.parametrize('cancelled', [True, False])
def test_a_tombstone_is_distinguished_from_a_submission(cancelled):
    """Guards against a cancelled or refused job that a leader takes for a stored one."""
    tombstone = Tombstone(cancelled=cancelled)
    assert decode_record(JobId('j'), encode_tombstone(tombstone)) == tombstone


@pytest.mark.parametrize(
    'stored', [b'', b'\xc1', b'\x01', b'\x81\xa1a\x01', b'\x81\xa9tombstone\x01']
)
def test_malformed_records_are_rejected(stored):
    """Guards against an exception in the leader on a record it cannot decode."""
    with pytest.raises(ValueError, match='cannot be read'):
        decode_record(JobId('j'), stored)


def _task_summaries(job):
    return [
        (
            task.ref,
            task.state,
            *(() if task.state is TaskState.DONE else _run_fields(task)),
            task.step_run.done_count,
        )
        for task in job.tasks()
    ]


def _run_fields(task):
    address = task.worker_address if task.worker else ''
    return (
        task.attempt,
        task.failures,
        task.worker,
        task.checkpoint,
        address,
        task.lapsed,
    )
