"""Guards against slowdown estimates that overreact or never change."""

from datetime import timedelta

import numpy as np
import pytest

from chiveworks.base import ManualClock
from chiveworks.placement import Bound, SlowdownEstimator, SlowdownSample

ZERO = timedelta(0)


def sample(slowdown, others=None, kind='a', load=1.0, at=ZERO):
    return SlowdownSample(kind, others or {'b': 1}, load, slowdown, at)


def test_one_outlier_barely_changes_an_estimate():
    """Guards against separating two kinds for good after one outlier."""
    estimator = SlowdownEstimator(ManualClock())
    assert estimator.predict('a', {'b': 1}, 1) == pytest.approx(1.05)
    estimator.partial_fit([sample(3)])
    assert estimator.predict('a', {'b': 1}, 1) < 1.5
    estimator.partial_fit([sample(3)] * 100)
    assert estimator.predict('a', {'b': 1}, 1) > 2.8


def test_old_estimates_fade_with_and_without_new_samples():
    """Guards against avoiding a pair for good that was harmful once."""
    clock = ManualClock()
    estimator = SlowdownEstimator(clock, half_life=timedelta(minutes=1))
    estimator.partial_fit([sample(3)] * 50)
    before = estimator.predict('a', {'b': 1}, 1)
    clock.shift(timedelta(minutes=12))
    assert estimator.predict('a', {'b': 1}, 1) < 1.1 < before
    estimator.partial_fit([sample(1, at=clock.monotonic())] * 20)
    assert estimator.predict('a', {'b': 1}, 1) < 1.02


def test_late_samples_weigh_less():
    """Guards against a delayed report that overrides recent measurements."""
    clock = ManualClock()
    clock.shift(timedelta(hours=1))
    on_time = SlowdownEstimator(clock).partial_fit([sample(3, at=clock.monotonic())])
    late = SlowdownEstimator(clock).partial_fit([sample(3)])
    assert late.predict('a', {'b': 1}, 1) < on_time.predict('a', {'b': 1}, 1)


def test_bounds_enclose_the_mean_and_close_with_samples():
    """Guards against bounds without effect or that do not narrow with more samples."""
    widths = []
    for count in (1, 100):
        low, mean, high = (
            SlowdownEstimator(ManualClock(), bound=bound)
            .partial_fit([sample(1.5)] * count)
            .predict('a', {'b': 1}, 1)
            for bound in (Bound.OPTIMISTIC, Bound.MEAN, Bound.PESSIMISTIC)
        )
        assert low < mean < high
        widths.append(high - low)
    assert widths[1] < widths[0] / 3


def test_harm_is_attributed_to_the_kind_that_causes_it():
    """Guards against blaming a harmless kind that usually runs with a harmful one."""
    rng = np.random.default_rng(5)
    estimator = SlowdownEstimator(ManualClock())
    for _ in range(200):
        loud, calm = int(rng.integers(0, 3)), int(rng.integers(0, 3))
        noise = float(rng.normal(0, 0.1))
        others = {'loud': loud, 'calm': calm}
        estimator.partial_fit([sample(1 + 0.5 * loud + noise, others)])
    assert estimator.predict('a', {'loud': 2}, 1) == pytest.approx(2, abs=0.15)
    assert estimator.predict('a', {'calm': 2}, 1) == pytest.approx(1, abs=0.15)
    assert estimator.predict('a', {'loud': 2}, 0) == 1


def test_kinds_beyond_the_limit_share_one_estimate():
    """Guards against memory that grows with every kind ever submitted."""
    estimator = SlowdownEstimator(ManualClock(), max_kinds=3)
    names = [f'k{number}' for number in range(50)]
    estimator.partial_fit([sample(2, {name: 1}, kind=name) for name in names] * 9)
    assert estimator.state_.moments.shape == (3, 6, 6)
    assert estimator.predict('k49', {'k48': 1}, 1) > 1.5
