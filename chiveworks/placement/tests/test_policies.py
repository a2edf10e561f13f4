"""Guards against overcommitted workers and placements next to harmful tasks."""

from datetime import timedelta

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks.base import ManualClock, Resources, WorkerId
from chiveworks.placement import (
    CandidateIndex,
    Demand,
    FirstFit,
    InterferenceAware,
    PlacementWeights,
    SlowdownEstimator,
    SlowdownSample,
    placement_policies,
)
from chiveworks.placement.tests.factories import GIB, WORKER, demand, service, worker

amounts = st.builds(
    Resources,
    st.integers(-500, 16000),
    st.integers(-GIB, 60 * GIB),
    st.integers(-1, 4),
)
needs = st.builds(
    demand,
    cpu=st.integers(0, 16000),
    memory=st.integers(0, 60 * GIB),
    accelerators=st.integers(0, 4),
)
fleets = st.lists(st.tuples(amounts, st.booleans()), max_size=12)


def policies():
    aware = InterferenceAware(SlowdownEstimator(ManualClock()), PlacementWeights())
    return FirstFit(), aware


@settings(derandomize=True, max_examples=300)
@given(fleets, needs)
def test_policies_place_within_free_resources_like_a_full_scan(fleet, need):
    """Guards against an index that misses a fit and a policy that overcommits."""
    index = CandidateIndex(np.random.default_rng(1), sample_size=3)
    for number, (free, is_quarantined) in enumerate(fleet):
        index.put(worker(f'w{number}', free, quarantined=is_quarantined))
    fits = {
        WorkerId(f'w{number}')
        for number, (free, is_quarantined) in enumerate(fleet)
        if not is_quarantined and need.resources.fits_in(free)
    }
    for policy in policies():
        for candidates in (tuple(index), index.sample(need)):
            choice = policy.choose(need, candidates)
            assert (choice in fits) if fits else (choice is None)


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.tuples(needs, st.booleans()), max_size=40))
def test_claims_and_releases_keep_the_index_exact(steps):
    """Guards against cells that are stale after claims, releases and removals."""
    index = CandidateIndex(np.random.default_rng(2), sample_size=2)
    free = {WorkerId(f'w{n}'): Resources(16000, 60 * GIB, 4) for n in range(3)}
    for name, amount in free.items():
        index.put(worker(name, amount, capacity=amount))
    held: list[tuple[WorkerId, Demand]] = []
    for need, release in steps:
        if release and held:
            name, old = held.pop(0)
            index.release(name, old)
            free[name] += old.resources
        choice = FirstFit().choose(need, index.sample(need))
        can_fit = any(need.resources.fits_in(amount) for amount in free.values())
        assert (choice is not None) == can_fit
        if choice:
            index.claim(choice, need)
            free[choice] -= need.resources
            held.append((choice, need))
        assert {item.worker_id: item.free for item in index} == free
        assert min(amount.cpu_millicores for amount in free.values()) >= 0
    index.remove(WorkerId('w0'))
    assert WorkerId('w0') not in {item.worker_id for item in index.sample(demand())}


def test_a_task_avoids_the_service_it_is_known_to_harm():
    """Guards against a policy that ignores measured interference."""
    estimator = SlowdownEstimator(ManualClock())
    estimator.partial_fit(
        SlowdownSample('quotes', {'noisy': 1}, 0.8, 3, timedelta(0)) for _ in range(50)
    )
    policy = InterferenceAware(estimator)
    near = worker('near', kinds={'quotes': 1}, service_kinds=frozenset({'quotes'}))
    apart = worker('apart', kinds={'other': 4}, load=0.5)
    assert policy.choose(demand(kind='noisy', cpu=12000), (near, apart)) == 'apart'
    noisy = worker('noisy', kinds={'noisy': 1})
    assert policy.choose(service(cpu=12000), (noisy, apart)) == 'apart'


def test_weights_decide_between_services_and_batch_work():
    """Guards against weights from settings that have no effect."""
    estimator = SlowdownEstimator(ManualClock())
    for kind, slowdown in (('quotes', 1.6), ('stock', 2)):
        sample = SlowdownSample(kind, {'noisy': 1}, 1, slowdown, timedelta(0))
        estimator.partial_fit([sample] * 50)
    fleet = (
        worker('service', kinds={'quotes': 1}, service_kinds=frozenset({'quotes'})),
        worker('batch', kinds={'stock': 1}),
    )
    need = demand(kind='noisy', cpu=16000)
    tail = InterferenceAware(
        estimator, PlacementWeights(tail_latency=3), max_interference=9
    )
    batch = InterferenceAware(
        estimator, PlacementWeights(batch_throughput=3), max_interference=9
    )
    assert tail.choose(need, fleet) == 'batch'
    assert batch.choose(need, fleet) == 'service'


def test_harmful_work_waits_for_a_while_but_is_not_starved():
    """Guards against interference above the limit, and starvation due to the limit."""
    clock = ManualClock()
    estimator = SlowdownEstimator(clock, half_life=timedelta(days=1))
    harmful = SlowdownSample('stock', {'noisy': 1}, 1, 3, timedelta(0))
    estimator.partial_fit([harmful] * 50)
    policy = InterferenceAware(estimator)
    fleet = (worker('batch', kinds={'stock': 1}, load=1),)
    need = demand(kind='noisy')
    assert policy.choose(need, fleet) is None
    assert policy.choose(demand(kind='noisy', urgent=True), fleet) == 'batch'
    clock.shift(timedelta(minutes=10))
    assert policy.choose(need, fleet) == 'batch'


def test_accelerators_are_kept_for_tasks_that_need_them():
    """Guards against filling accelerator workers with tasks that need none."""
    _, aware = policies()
    plain = worker('plain')
    special = worker('special', WORKER + Resources(accelerators=2))
    assert aware.choose(demand(), (special, plain)) == 'plain'
    assert aware.choose(demand(accelerators=1), (special, plain)) == 'special'


def test_registry_creates_policies_by_name():
    """Guards against settings that name an unregistered policy."""
    assert placement_policies.names() == ('first_fit', 'interference_aware')
    with pytest.raises(ValueError, match='unknown placement policy'):
        placement_policies.create('best')
