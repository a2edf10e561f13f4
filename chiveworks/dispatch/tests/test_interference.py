"""Tests of the interference model and of the worker lease."""

import math
import random
from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.workflow import TaskRef

HARMFUL, HARMLESS = 7.0, 0.9
#: Mean, amplitude and period of the headroom of serving tasks without filling tasks.
LEVEL, AMPLITUDE, PERIOD_S = 2.6, 1.0, 10.0


def learn(model, seconds, seed=1):
    """Feeds reports of six serving tasks of a step with an oscillating load."""
    source = random.Random(seed)
    shares = {}
    for report in range(seconds * 2):
        now = timedelta(seconds=report / 2)
        base = LEVEL + AMPLITUDE * math.sin(2 * math.pi * report / 2 / PERIOD_S)
        for index in range(6):
            if index not in shares or source.random() < 0.4:
                shares[index] = {
                    'loud': source.choice((0, 0, 0.1)),
                    'calm': source.choice((0, 0.1, 0.2, 0.3)),
                }
            loads = shares[index]
            headroom = base - HARMFUL * loads['loud'] - HARMLESS * loads['calm']
            headroom *= source.gauss(1, 0.08)
            ref = TaskRef(JobId('j'), 0, 0, index)
            model.partial_fit(ref, 'service', loads, headroom, now)


@pytest.mark.parametrize('seed', range(1, 6))
def test_harmful_images_are_identified_within_seconds(seed):
    """Guards against prolonged interference by new images, and against pauses of
    harmless tasks. A regression on changes needed 10 to 20 s to tell images apart."""
    model = InterferenceModel()
    learn(model, 4, seed)
    half_difference = (HARMFUL - HARMLESS) / 2
    assert abs(model.weight('service', 'loud') - HARMFUL) < half_difference
    assert abs(model.weight('service', 'calm') - HARMLESS) < half_difference


def test_an_unknown_image_counts_as_harmful():
    """Guards against many tasks of a new image starting next to a serving task."""
    model = InterferenceModel()
    assert model.upper_weight('service', 'new') > 5
    learn(model, 4)
    assert model.upper_weight('service', 'calm') < 2.5


def test_the_load_of_serving_tasks_is_separated_from_interference():
    """Guards against load changes of a service being attributed to filling tasks."""
    model = InterferenceModel()
    learn(model, 20)
    ref = TaskRef(JobId('j'), 0, 0, 0)
    baseline = model.baseline(ref, 'service', timedelta())
    assert abs(baseline - LEVEL) < 0.6
    assert 1.0 <= model.floor('service') < LEVEL - AMPLITUDE / 2


def test_a_slow_worker_does_not_make_an_image_harmful():
    """Guards against latencies of a slow worker being attributed to filling tasks."""
    model = InterferenceModel()
    learn(model, 10)
    known = model.weight('service', 'calm')
    ref = TaskRef(JobId('j'), 0, 0, 0)
    model.partial_fit(ref, 'service', {'calm': 0.1}, 0.05, timedelta(seconds=10))
    assert model.weight('service', 'calm') < known + 1


def test_a_later_process_starts_from_what_was_learned():
    """Guards against relearning the model after each change of the leader."""
    model, successor = InterferenceModel(), InterferenceModel()
    learn(model, 15)
    successor.load(model.dump())
    for filling in ('loud', 'calm'):
        learned = model.weight('service', filling)
        assert abs(successor.weight('service', filling) - learned) < 0.01
    assert abs(successor.floor('service') - model.floor('service')) < 0.01


def test_a_lease_does_not_lapse_early_on_a_slow_clock():
    """Guards against a second run while the lease still holds on a clock 2% slow."""
    clock = ManualClock()
    lease = WorkerLease(timedelta(seconds=6), clock.monotonic())
    lease.observe_clock(timedelta(seconds=100), clock.monotonic())
    assert lease.extend(clock.monotonic()) == timedelta(seconds=106)
    clock.shift(timedelta(seconds=6 / 0.98))
    assert not lease.lapsed(clock.monotonic())
    clock.shift(timedelta(seconds=0.2))
    assert lease.lapsed(clock.monotonic())
