"""Guards against reservations below the declared size or far from actual use."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks.base import Resources
from chiveworks.placement import SizeEstimator, SizeSample

DECLARED = Resources(1000, 2**30)
MINUTE = timedelta(minutes=1)


def sample(cpu=1000, run_time=MINUTE, kind='a', memory=2**20):
    return SizeSample(kind, Resources(cpu, memory), MINUTE, run_time)


used = st.tuples(st.integers(0, 20000), st.integers(0, 2**33))


@settings(derandomize=True)
@given(st.lists(used, max_size=80))
def test_reservations_cover_the_declaration_and_the_quantiles(amounts):
    """Guards against reserving less than a task may use, which breaks promise 1."""
    estimator = SizeEstimator().partial_fit(
        sample(cpu, memory=memory) for cpu, memory in amounts
    )
    reserved = estimator.predict('a', DECLARED)
    assert DECLARED.fits_in(reserved)
    recent = amounts[-64:]
    if len(recent) >= 5:
        cpu_kept = sum(cpu <= reserved.cpu_millicores for cpu, _ in recent)
        memory_kept = sum(memory <= reserved.memory_bytes for _, memory in recent)
        assert cpu_kept >= 0.75 * len(recent)
        assert memory_kept >= 0.95 * len(recent)


def test_one_large_task_does_not_enlarge_its_kind():
    """Guards against capacity wasted after a single outlier."""
    estimator = SizeEstimator().partial_fit([sample(9000)])
    assert estimator.predict('a', DECLARED) == DECLARED
    estimator.partial_fit([sample(9000)] * 5)
    assert estimator.predict('a', DECLARED) == Resources(9000, 2**30)
    estimator.partial_fit([sample(500)] * 64)
    assert estimator.predict('a', DECLARED) == DECLARED


def test_run_times_move_from_the_declared_to_the_observed():
    """Guards against planning deadlines with a run time known to be wrong."""
    estimator = SizeEstimator()
    assert estimator.predict_run_time('a', MINUTE) == MINUTE
    estimator.partial_fit([sample(run_time=MINUTE * 4)])
    assert MINUTE < estimator.predict_run_time('a', MINUTE) < MINUTE * 2
    estimator.partial_fit([sample(run_time=MINUTE * 4)] * 60)
    ratio = estimator.predict_run_time('a', MINUTE) / MINUTE
    assert ratio == pytest.approx(4, rel=0.1)
