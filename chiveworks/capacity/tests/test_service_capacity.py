"""Decisions about jobs against a naive model of what workers could ever run."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks.base import Resources
from chiveworks.capacity import (
    CapacityRecord,
    ServiceCapacity,
    WorkerShape,
    _capacity_record,
    decode_capacity,
)
from chiveworks.workflow import StepSpec

EXAMPLES = settings(derandomize=True, max_examples=400, deadline=None)
LABELS = ('kind-a', 'kind-b', 'r1', 'r2')


def resources(least):
    return st.builds(
        Resources, st.integers(least, 8), st.integers(least, 8), st.integers(0, 3)
    )


WORKERS = st.lists(
    st.builds(
        WorkerShape,
        resources(1),
        st.frozensets(st.sampled_from(LABELS), min_size=1, max_size=2),
    ),
    min_size=1,
    max_size=7,
)
STEPS = st.builds(
    StepSpec,
    st.integers(1, 12),
    resources(0),
    gang=st.booleans(),
    required_label=st.sampled_from(('', *LABELS, 'other')),
    worker_limit=st.integers(0, 3),
    fills=st.booleans(),
)


def could_run(workers, step):
    """Places tasks one at a time on workers on which nothing else runs."""
    needed = step.count if step.gang else 1
    for worker in workers:
        if step.required_label and step.required_label not in worker.labels:
            continue
        free, placed = worker.capacity, 0
        demand = step.demand
        if step.fills:
            demand = Resources(0, demand.memory_bytes, demand.accelerators)
        while needed and demand.fits_in(free):
            if step.worker_limit and placed == step.worker_limit:
                break
            free, placed, needed = free - demand, placed + 1, needed - 1
    return not needed


@EXAMPLES
@given(workers=WORKERS, step=STEPS)
def test_exactly_the_steps_that_no_workers_could_run_are_refused(workers, step):
    """Guards against a wrong refusal, and against a job that waits for ever."""
    reason = ServiceCapacity(Counter(workers)).refusal_reason(step)
    assert bool(reason) is not could_run(workers, step)


@EXAMPLES
@given(workers=WORKERS, step=STEPS, limit=st.integers(1, 6))
def test_fewer_shapes_refuse_nothing_that_the_workers_could_run(workers, step, limit):
    """Guards against a wrong refusal by a record that had to be shortened."""
    capacity = ServiceCapacity(Counter(workers))
    for reduced in (
        capacity.bounded(limit),
        capacity.without_labels(),
        capacity.without_labels().bounded(limit),
        capacity.union(ServiceCapacity({WorkerShape(Resources(1, 1)): 1})),
    ):
        assert len(reduced.counts) <= max(limit, len(workers) + 1)
        assert not (could_run(workers, step) and reduced.refusal_reason(step))
    assert len(capacity.bounded(limit).counts) <= limit


@EXAMPLES
@given(workers=WORKERS)
def test_a_record_is_read_as_it_was_written(workers):
    """Guards against sizes that change on their way through the store."""
    record = CapacityRecord('a 1 2', {'pool': ServiceCapacity(Counter(workers))})
    assert decode_capacity(record.encode().decode()) == record


@pytest.mark.parametrize('labels', [1, 400])
def test_a_record_is_bounded_and_refuses_nothing_that_could_run(labels):
    """Guards against a large value that all processes read again and again."""
    shapes = {
        WorkerShape(
            Resources(number, 1), frozenset(f'{number}-{n}' for n in range(labels))
        ): 1
        for number in range(1, 200)
    }
    names = [f's{number:03}' for number in range(100)]
    record = CapacityRecord('a', {name: ServiceCapacity(shapes) for name in names})
    encoded = record.encode()
    assert len(encoded) <= _capacity_record.RECORD_BYTES
    services = decode_capacity(encoded.decode()).services
    assert 0 < len(services) <= _capacity_record.SERVICE_LIMIT
    for service in services.values():
        assert not service.refusal_reason(StepSpec(1, Resources(199, 1)))
        assert service.refusal_reason(StepSpec(1, Resources(200, 1)))


def test_names_that_do_not_fit_in_a_record_leave_it_empty():
    """Guards against a record that grows with what others write in the store."""
    pool = ServiceCapacity({WorkerShape(Resources(1, 1)): 1})
    encoded = CapacityRecord('a', {'s' * 20_000: pool}).encode()
    assert not decode_capacity(encoded.decode()).services


@pytest.mark.parametrize(
    'stored',
    [
        '',
        '[]',
        '7',
        '{}',
        '[' * 100_000,
        '{"form": 0, "leader": "a", "services": {}}',
        '{"form": 1, "leader": 5, "services": {}}',
        '{"form": 1, "leader": "a", "services": []}',
        '{"form": 1, "leader": "a", "services": {"s": 1}}',
        '{"form": 1, "leader": "a", "services": {"s": [[1, 1, 1]]}}',
        '{"form": 1, "leader": "a", "services": {"s": [[1, 1, 0, 1, 5]]}}',
        '{"form": 1, "leader": "a", "services": {"s": [[1, 1, 0, 1, [5]]]}}',
        '{"form": 1, "leader": "a", "services": {"s": [[-1, 1, 0, 1, []]]}}',
        '{"form": 1, "leader": "a", "services": {"s": [[1e400, 1, 0, 1, []]]}}',
        '{"form": 1, "leader": "a", "services": {"s": [[true, 1, 0, 1, []]]}}',
    ],
)
def test_a_text_that_is_no_record_is_named(stored):
    """Guards against a decision by a record of another form."""
    with pytest.raises(ValueError):
        decode_capacity(stored)


def test_rounded_counts_are_never_lower_and_rarely_change():
    """Guards against a record that every process reads again with each new worker."""
    shape = WorkerShape(Resources(1, 1))
    rounded = [
        ServiceCapacity({shape: count}).rounded().counts[shape]
        for count in range(1, 300)
    ]
    assert all(each >= count for count, each in enumerate(rounded, 1))
    assert len(set(rounded)) < 11
