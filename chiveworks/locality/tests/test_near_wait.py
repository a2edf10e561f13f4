"""Decisions about waits for near workers, on plain values."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chiveworks.base import Resources
from chiveworks.locality import (
    REVIEW_INTERVAL,
    LatenessMeter,
    NearPlace,
    NearReason,
    NearRequest,
    NearSlots,
    NearWait,
    ObservedRun,
    Release,
)

NOW = timedelta(seconds=100)
FAR_OFF = NOW + timedelta(hours=1)
DEMAND = Resources(1000, 1)
FULL = Resources()


def seconds(amount):
    return timedelta(seconds=amount)


def place(*ends, lateness=1.0):
    """Returns a full worker whose runs end so many seconds from now."""
    releases = (Release(NOW + seconds(end), seconds(0), DEMAND) for end in ends)
    return NearPlace(FULL, releases, lateness)


def slot_of(near_place, duration=2):
    return near_place.earliest(DEMAND, seconds(duration), NOW)


def request(duration=2, waited=0, latest=FAR_OFF, **fields):
    return NearRequest(seconds(duration), NOW - seconds(waited), latest, **fields)


@pytest.mark.parametrize(
    ('factor', 'duration', 'frees_in', 'waited', 'reason'),
    [
        (1.5, 2, 0.8, 0, NearReason.EXPECTED),
        # A remote run of 0.64 s costs 0.32 s more; a wait of 1 s never paid off.
        (1.5, 0.64, 0.8, 0, NearReason.TOO_LATE),
        (1.5, 0.64, 0.2, 0, NearReason.EXPECTED),
        (1.5, 2, 1.2, 0, NearReason.TOO_LATE),
        (3, 2, 1.2, 0, NearReason.EXPECTED),
        # What has been waited counts towards the longest wait.
        (1.5, 2, 0.8, 0.3, NearReason.TOO_LATE),
        (1.5, 2, 0.2, 0.97, NearReason.WAITED),
        (1, 2, 0.01, 0, NearReason.NO_GAIN),
        (1.5, 0, 0.01, 0, NearReason.NO_GAIN),
        (1.5, 0.05, 0.01, 0, NearReason.NO_GAIN),
    ],
)
def test_a_task_waits_only_as_long_as_it_pays_off(
    factor, duration, frees_in, waited, reason
):
    """Guards against waits of a fixed length, whatever a remote run costs."""
    slot = slot_of(place(frees_in), duration)
    decision = NearWait(factor).decide(request(duration, waited), slot, NOW)
    assert decision.reason is reason


def test_a_full_rack_of_lasting_tasks_is_not_waited_for():
    """Guards against waits for room that never becomes free."""
    assert slot_of(place()) is None
    decision = NearWait(3).decide(request(), None, NOW)
    assert decision.reason is NearReason.NO_PLACE


@pytest.mark.parametrize(
    ('left', 'reason'),
    [
        (0.5, NearReason.DEADLINE),
        (0.04, NearReason.DEADLINE),
        (0.9, NearReason.EXPECTED),
        # The job cannot meet its deadline elsewhere, so only a near run may help.
        (-0.1, NearReason.EXPECTED),
    ],
)
def test_no_wait_passes_the_last_remote_start_that_meets_the_deadline(left, reason):
    """Guards against jobs that miss their deadline only because they have waited."""
    asked = request(latest=NOW + seconds(left))
    decision = NearWait(1.5).decide(asked, slot_of(place(0.8)), NOW)
    assert decision.reason is reason


def test_a_wait_that_began_in_time_ends_after_the_last_remote_start():
    """Guards against a late round that takes a deadline as missed from the start."""
    asked = request(waited=0.5, latest=NOW - seconds(0.1))
    decision = NearWait(3).decide(asked, slot_of(place(0.1)), NOW)
    assert decision.reason is NearReason.DEADLINE


def test_a_slow_near_worker_is_not_waited_for():
    """Guards against waits for a worker on which the run takes as long as elsewhere."""
    slow = slot_of(place(0.2, lateness=1.5))
    assert NearWait(1.5).decide(request(), slow, NOW).reason is NearReason.TOO_LATE
    late_elsewhere = request(remote_lateness=1.5)
    assert NearWait(1.5).decide(late_elsewhere, slow, NOW).waits


def test_an_uncertain_start_must_leave_a_margin():
    """Guards against waits on an estimate that is likely to be exceeded."""
    uncertain = NearPlace(FULL, [Release(NOW + seconds(0.7), seconds(0.7), DEMAND)])
    assert not NearWait(1.5).decide(request(), slot_of(uncertain), NOW).waits


def test_waiting_tasks_at_a_hot_rack_are_bounded_by_what_it_can_run():
    """Guards against a pile-up of tasks that all wait for the same worker."""
    near_wait = NearWait(2)
    slots = NearSlots([place(0.5, 1), place(0.7, 1.5)], DEMAND, seconds(2), NOW)
    waiting = 0
    for _ in range(1000):
        slot = slots.earliest()
        if near_wait.decide(request(), slot, NOW).waits:
            waiting += 1
            slots.book()
    # The slots begin after 0.5, 0.7, 1 and 1.5 s; the next ones, after 2.5 s, too late.
    assert waiting == 4


def test_bookings_do_not_change_the_places_of_others():
    """Guards against tasks that are counted ahead of the others twice."""
    near = place(0.5)
    slots = NearSlots([near], DEMAND, seconds(2), NOW)
    assert slots.book().starts_at == NOW + seconds(0.5)
    assert slots.book().starts_at == NOW + seconds(2.5)
    assert slot_of(near).starts_at == NOW + seconds(0.5)


def test_members_of_a_gang_need_their_room_at_the_same_time():
    """Guards against a gang that waits for a rack with room for a part of it only."""
    slots = NearSlots([place(0.5)], DEMAND, seconds(2), NOW, frees=False)
    assert slots.book() is not None
    assert slots.book() is None


def test_a_limit_per_worker_bounds_the_bookings():
    """Guards against a step that waits for more slots than its limit lets it take."""
    slots = NearSlots([place(0.5, 1)], DEMAND, seconds(2), NOW, place_limit=1)
    assert slots.book() is not None
    assert slots.book() is None


def test_idle_places_count_only_for_groups():
    """Guards against a task that waits for free room which it may not take."""
    idle = NearPlace(DEMAND, ())
    assert NearSlots([idle], DEMAND, seconds(1), NOW).earliest() is None
    slots = NearSlots([idle], DEMAND, seconds(1), NOW, idle=True)
    assert slots.earliest().starts_at == NOW


@pytest.mark.parametrize(
    ('run', 'ends_in', 'spread'),
    [
        (ObservedRun(DEMAND, seconds(2), NOW - seconds(0.5)), 1.5, 1.5),
        # Half done after 1 s of the 4 s that were declared.
        (ObservedRun(DEMAND, seconds(4), NOW - seconds(1), 50, NOW), 1, 0.25),
        # Resumed or adopted: the progress at the start is not known.
        (ObservedRun(DEMAND, seconds(4), NOW - seconds(1), 50, NOW, False), 2, 2),
        (ObservedRun(DEMAND, seconds(2), None), 2, 2),
        # Overdue by 2 s, so 1 s more is likely.
        (ObservedRun(DEMAND, seconds(2), NOW - seconds(4)), 1, 1),
        # A report is missing: the end is later than extrapolated from the last one.
        (
            ObservedRun(DEMAND, seconds(2), NOW - seconds(4), 50, NOW - seconds(2.5)),
            1,
            1,
        ),
    ],
)
def test_the_end_of_a_run_is_estimated_from_its_progress(run, ends_in, spread):
    """Guards against ends that are expected too early when reports are late."""
    release = run.release(NOW)
    assert release.ends_at == NOW + seconds(ends_in)
    assert release.spread == seconds(spread)


def test_lateness_is_averaged_over_runs():
    """Guards against one wrong estimate that discredits a worker."""
    meter = LatenessMeter()
    meter.record('w', 100)
    assert meter.of('w') == pytest.approx(1.6)
    for _ in range(50):
        meter.record('w', 2)
    assert meter.of('w') == pytest.approx(2, abs=0.01)
    assert meter.of('other') == 1


@given(
    factor=st.floats(1, 4),
    duration=st.floats(0, 20),
    frees_in=st.lists(st.floats(0, 60), max_size=4),
    drift=st.floats(0, 3),
    deadline=st.floats(-2, 40),
)
def test_a_wait_costs_at_most_the_difference_of_both_runs(
    factor, duration, frees_in, drift, deadline
):
    """Guards against waits beyond the bounds when room becomes free later than expected.

    Each second, the expected releases move by `drift` seconds.
    """
    near_wait = NearWait(factor)
    latest = NOW + seconds(deadline)
    now = NOW
    while True:
        late = drift * (now - NOW)
        releases = [
            Release(NOW + seconds(end) + late, seconds(0), DEMAND) for end in frees_in
        ]
        slot = NearPlace(FULL, releases).earliest(DEMAND, seconds(duration), now)
        asked = NearRequest(seconds(duration), NOW, latest)
        if not near_wait.decide(asked, slot, now).waits:
            break
        now += REVIEW_INTERVAL
    assert now - NOW <= near_wait.gain(seconds(duration))
    assert now <= max(latest, NOW) or latest < NOW
