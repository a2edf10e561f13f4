"""Tests of the paces of filling tasks, and a replay of a load that rises and falls."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chiveworks.dispatch._interference_guard import LOW_HEADROOM, TARGET_HEADROOM
from chiveworks.dispatch._pace_plan import (
    MIN_PACE_PERCENT,
    NOTABLE_LOSS,
    FillingLoad,
    lower_paces,
    raise_paces,
)

LOSSES = st.lists(st.floats(0, 3), min_size=2, max_size=2)
LOADS = st.lists(
    st.builds(FillingLoad, LOSSES, st.sampled_from([0, 20, 40, 70, 100])), max_size=6
)
LEFT = st.lists(st.floats(-3, 3), min_size=2, max_size=2)


def taken(loads, paces):
    """Returns the change of each serving task's headroom against the present paces."""
    return [
        sum(
            load.losses[serving] * (pace - load.pace_percent) / 100
            for load, pace in zip(loads, paces, strict=True)
        )
        for serving in range(2)
    ]


@given(LOADS, LEFT)
def test_lower_paces_leave_no_serving_task_without_headroom(loads, left):
    """Guards against serving tasks that stay over their target for want of a pause."""
    paces = lower_paces(loads, left)
    for serving, change in enumerate(taken(loads, paces)):
        working = any(
            pace and load.losses[serving] >= NOTABLE_LOSS
            for load, pace in zip(loads, paces, strict=True)
        )
        assert left[serving] - change >= -1e-9 or not working
    assert all(
        pace <= load.pace_percent for load, pace in zip(loads, paces, strict=True)
    )


@given(LOADS, LEFT)
def test_higher_paces_take_no_more_headroom_than_is_left(loads, left):
    """Guards against filling tasks that push a serving task over its target."""
    paces = raise_paces(loads, left)
    for serving, change in enumerate(taken(loads, paces)):
        assert change <= max(left[serving], 0) + 1e-9
    for load, pace in zip(loads, paces, strict=True):
        assert load.pace_percent <= pace <= 100
        assert pace == load.pace_percent or pace >= MIN_PACE_PERCENT


def test_tasks_that_take_little_go_on():
    """Guards against pauses of harmless tasks beside a service that is slow by itself."""
    loads = [FillingLoad([0.1], 100), FillingLoad([0.5], 100)]
    assert lower_paces(loads, [-1]) == [100, 0]


def test_only_what_is_missing_is_taken():
    """Guards against whole tasks that are paused for a small lack of headroom."""
    loads = [FillingLoad([0.6], 100), FillingLoad([0.6], 100)]
    assert lower_paces(loads, [-0.3]) == [50, 100]


def test_cheap_tasks_get_the_headroom_first():
    """Guards against one disturbing task that takes the headroom of many others."""
    loads = [FillingLoad([0.6], 0), FillingLoad([0.1], 0), FillingLoad([0.1], 0)]
    assert raise_paces(loads, [0.5]) == [50, 100, 100]


def whole_pauses(loads, left):
    """Returns the paces if tasks are paused and resumed as a whole."""
    paces = [load.pace_percent for load in loads]
    for position, load in enumerate(loads):
        if left < 0 and paces[position]:
            paces[position] = 0
            left += load.losses[0]
    for position, load in enumerate(loads):
        if not paces[position] and load.losses[0] <= left:
            paces[position] = 100
            left -= load.losses[0]
    return paces


def graded(loads, left):
    if left < 0:
        return lower_paces(loads, [left])
    return raise_paces(loads, [left])


def replay(policy, loss):
    """Returns the work done and the share of time over the target in 60 s.

    The baseline headroom of a serving task swings around 2 with a period of 10 s, and
    four filling tasks that take `loss` each are beside it all the time.
    """
    paces = [100] * 4
    work, missed, steps = 0.0, 0, 600
    for step in range(steps):
        baseline = 2 + 0.9 * math.sin(2 * math.pi * step / 100)
        headroom = baseline - sum(loss * pace / 100 for pace in paces)
        if step % 6 == 0:
            left = headroom - TARGET_HEADROOM
            if headroom < LOW_HEADROOM or left > 0:
                loads = [FillingLoad([loss], pace) for pace in paces]
                paces = policy(loads, left)
        headroom = baseline - sum(loss * pace / 100 for pace in paces)
        work += sum(paces) / 100 / steps
        missed += headroom < 1
    return work, missed / steps


@pytest.mark.parametrize('loss', [0.15, 0.3, 0.5, 0.7, 0.9])
def test_graded_paces_get_more_work_done_in_the_same_headroom(loss):
    """Guards against headroom that stays unused since no whole task fits into it."""
    work, missed = replay(graded, loss)
    work_before, missed_before = replay(whole_pauses, loss)
    assert work > work_before
    # One interval between two reviews, 0.6 of 60 s, may be lost.
    assert missed <= missed_before + 0.01
