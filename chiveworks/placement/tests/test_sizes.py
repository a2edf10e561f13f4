"""Guards against reservations below the declared size or far from the actual one."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks.base import Resources
from chiveworks.placement import SizeEstimator, SizeSample

DECLARED = Resources(1000, 2**30)
MINUTE = timedelta(minutes=1)


def sample(cpu=1000, run_time=MINUTE, kind='a'):
    return SizeSample(kind, Resources(cpu, 2**20), MINUTE, run_time)


@settings(derandomize=True)
@given(st.lists(st.integers(0, 20000), max_size=80))
def test_reservations_cover_the_declaration_and_the_quantile(amounts):
    """Tasks squeezed below what they may use, which would break promise 1."""
    estimator = SizeEstimator().partial_fit(map(sample, amounts))
    reserved = estimator.predict('a', DECLARED).cpu_millicores
    assert reserved >= 1000
    recent = amounts[-64:]
    if len(recent) >= 5:
        kept = sum(amount <= reserved for amount in recent)
        assert kept >= 0.95 * len(recent)


def test_one_large_task_does_not_enlarge_its_kind():
    """Capacity wasted after a single outlier."""
    estimator = SizeEstimator().partial_fit([sample(9000)])
    assert estimator.predict('a', DECLARED) == DECLARED
    estimator.partial_fit([sample(9000)] * 5)
    assert estimator.predict('a', DECLARED) == Resources(9000, 2**30)
    estimator.partial_fit([sample(500)] * 64)
    assert estimator.predict('a', DECLARED) == DECLARED


def test_run_times_move_from_the_declared_to_the_observed():
    """Deadlines planned with a run time that is known to be wrong."""
    estimator = SizeEstimator()
    assert estimator.predict_run_time('a', MINUTE) == MINUTE
    estimator.partial_fit([sample(run_time=MINUTE * 4)])
    assert MINUTE < estimator.predict_run_time('a', MINUTE) < MINUTE * 2
    estimator.partial_fit([sample(run_time=MINUTE * 4)] * 60)
    ratio = estimator.predict_run_time('a', MINUTE) / MINUTE
    assert ratio == pytest.approx(4, rel=0.1)
