"""Decoders of arbitrary input return a value that can be used, or raise ValueError."""

import copy
import json
from datetime import datetime, timedelta, timezone

from hypothesis import example, given, settings
from hypothesis import strategies as st

from chiveworks.base import JobId, WorkerId
from chiveworks.dispatch import WorkerInfo
from chiveworks.intake import QueueCatalogue
from chiveworks.platform._decoding import (
    decode_job,
    decode_operator_entry,
    decode_worker,
)
from chiveworks.platform.tests.test_account_decoding import TENANTS
from chiveworks.platform.tests.test_decoding import CONFIG, WORKER
from chiveworks.workflow import (
    Job,
    QueuePolicy,
    Submission,
    decode_record,
    encode_submission,
)
from yarl import URL

JOB = {
    'spec': 'x',
    'steps': [
        {'count': 2, 'cpu': 500, 'mem_mb': 1, 'estimate_ms': 5, 'image': 'i'},
        {'count': 1, 'after': [0], 'requires': 'l', 'data_rack': 'r', 'target_ms': 9},
    ],
    'repeat_count': 3,
    'first_ms': 1000,
    'interval_ms': 500,
}
KEYED_CONFIG = {**CONFIG, 'tenants': TENANTS}
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=5),
    st.sampled_from(
        (10**15, 10**16, 10**17, 10**400, -1, 2**63, 1e308, '\ud800', 'a b', 'x' * 5000)
    ),
)
ANYTHING = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=4,
)
CHECKED = settings(max_examples=300, deadline=None, derandomize=True)


def encode(anything):
    return json.dumps(anything).encode()


def paths(anything, path=()):
    """Yields the path of each value within a structure."""
    yield path
    if isinstance(anything, dict | list):
        keys = anything if isinstance(anything, dict) else range(len(anything))
        for key in keys:
            yield from paths(anything[key], (*path, key))


@st.composite
def inputs(draw, valid):
    """Draws bytes, JSON, or a valid object in which one or two values are replaced."""
    kind = draw(st.integers(0, 5))
    if kind == 0:
        return draw(st.binary(max_size=20))
    if kind == 1:
        return encode(draw(ANYTHING))
    changed = copy.deepcopy(valid)
    for _ in range(draw(st.integers(1, 2))):
        path = draw(st.sampled_from(sorted(paths(changed), key=str)))
        if path:
            owner = changed
            for key in path[:-1]:
                owner = owner[key]
            owner[path[-1]] = draw(ANYTHING)
    return encode(changed)


@CHECKED
@given(inputs(WORKER), st.one_of(st.just('w'), st.text(max_size=5)))
@example(encode(WORKER), 'w')
def test_workers(content, name):
    """Guards against an entry that the session of a worker cannot handle."""
    try:
        info = decode_worker(name, content)
    except ValueError as error:
        assert str(error)
        return
    assert isinstance(info, WorkerInfo) and info.worker_id == WorkerId(name)
    assert name and name.isascii() and name.isprintable() and ' ' not in name
    assert 1 <= URL(f'http://{info.address}/v1/hold').port <= 65535
    capacity = info.capacity
    amounts = (capacity.cpu_millicores, capacity.memory_bytes, capacity.accelerators)
    for number in (*amounts, info.born_ms):
        assert type(number) is int and 0 <= number < 2**64
    for text in (info.service, info.zone, info.rack, *info.labels):
        assert isinstance(text.encode(), bytes)
    for duration in (info.remaining, info.written_at):
        assert duration is None or timedelta() <= 3 * duration


@CHECKED
@given(inputs(KEYED_CONFIG))
@example(encode(KEYED_CONFIG))
@example(encode(CONFIG))
def test_configurations(content):
    """Guards against a configuration that fails in lookups or in stored jobs."""
    try:
        catalogue = decode_operator_entry('config', content)
    except ValueError as error:
        assert str(error)
        return
    assert isinstance(catalogue, QueueCatalogue)
    assert catalogue.version >= 0
    catalogue.find('h', '/p/0')
    catalogue.policy('r')
    for routes in catalogue.routes.values():
        for route in routes:
            check_stored(decode_job(encode(JOB)), route.policy)


@CHECKED
@given(inputs(JOB))
@example(encode(JOB))
def test_jobs(content):
    """Guards against a job that is refused without a reason or that ends each term."""
    try:
        spec = decode_job(content)
    except ValueError as error:
        assert str(error)
        return
    check_stored(spec, QueuePolicy('q', 's', stretch=1000))


def check_stored(spec, policy):
    accepted_at = datetime(2026, 5, 2, tzinfo=timezone.utc)
    submission = Submission(JobId('j'), policy, spec, accepted_at=accepted_at)
    stored = encode_submission(submission)
    restored = decode_record(JobId('j'), stored)
    assert restored.spec.payload == spec.payload
    if sum(step.count for step in spec.steps) <= 1000:
        job = Job(restored, timedelta(days=400))
        job.open_occurrence(0)
    if spec.recurrence:
        restored.spec.recurrence.due(spec.recurrence.count)
