"""What is learned of interference, and what is done about it."""

import random
from datetime import timedelta

from chiveworks.base import JobId, ManualClock
from chiveworks.dispatch._linear_system import solve_linear
from chiveworks.dispatch._pressure_model import PressureModel
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.workflow import TaskRef

HARMFUL, HARMLESS = 5.0, 0.4


def learn(model, seconds, seed=1):
    """Feeds reports of ten serving tasks whose own load swings."""
    source = random.Random(seed)
    shares = {}
    for step in range(seconds * 2):
        now = timedelta(seconds=step / 2)
        for index in range(10):
            if source.random() < 0.4:
                shares[index] = {
                    'loud': source.choice((0, 0.1, 0.2)),
                    'calm': source.choice((0, 0.1, 0.2, 0.3)),
                }
            loads = shares.setdefault(index, {'loud': 0, 'calm': 0})
            headroom = 3 - HARMFUL * loads['loud'] - HARMLESS * loads['calm']
            headroom += source.gauss(0, 0.1)
            ref = TaskRef(JobId('j'), 0, 0, index)
            model.partial_fit(ref, 'service', loads, headroom, now)
        model.refresh(now)


def test_harmful_and_harmless_images_are_told_apart():
    """Guards against pauses of tasks that disturb nobody."""
    model = PressureModel()
    learn(model, 15)
    assert abs(model.weight('service', 'loud') - HARMFUL) < 1
    assert model.weight('service', 'calm') < 1


def test_a_later_process_starts_from_what_was_learned():
    """Guards against learning anew after each change of the leader."""
    model, successor = PressureModel(), PressureModel()
    learn(model, 15)
    successor.load(model.dump())
    assert successor.weights_ == model.weights_
    learn(successor, 2, seed=2)
    assert successor.weight('service', 'loud') > 3


def test_a_linear_system_is_solved():
    """Guards against a wrong order of the unknowns."""
    rows = [[4.0, 1.0, 0.5, 7.5], [1.0, 3.0, 0.2, 7.6], [0.5, 0.2, 2.0, 6.9]]
    solution = solve_linear(rows)
    for row in rows:
        total = sum(a * b for a, b in zip(row[:3], solution, strict=True))
        assert abs(total - row[3]) < 1e-9


def test_a_lease_is_not_over_on_a_slow_clock():
    """Guards against a second run while a worker's clock, 2% slow, goes on."""
    clock = ManualClock()
    lease = WorkerLease(timedelta(seconds=6), clock.monotonic())
    lease.hear(timedelta(seconds=100), clock.monotonic())
    assert lease.extend(clock.monotonic()) == timedelta(seconds=106)
    clock.shift(timedelta(seconds=6 / 0.98))
    assert not lease.lapsed(clock.monotonic())
    clock.shift(timedelta(seconds=0.2))
    assert lease.lapsed(clock.monotonic())
