"""Guards against failing workers that get tasks and zones without usable workers."""

from datetime import timedelta

from chiveworks.base import ManualClock, WorkerId
from chiveworks.placement import Quarantine

BAD = WorkerId('bad')


def fail(quarantine, worker_id, times):
    for _ in range(times):
        quarantine.note_failed(worker_id)


def test_three_failures_in_a_row_then_one_trial():
    """Guards against quarantine too early or too late, and several trial tasks."""
    clock = ManualClock()
    quarantine = Quarantine(clock, 6)
    fail(quarantine, BAD, 2)
    quarantine.note_succeeded(BAD)
    fail(quarantine, BAD, 2)
    assert quarantine.allows(BAD)
    fail(quarantine, BAD, 1)
    assert not quarantine.allows(BAD)
    clock.shift(timedelta(seconds=30))
    assert quarantine.allows(BAD)
    quarantine.note_sent(BAD)
    assert not quarantine.allows(BAD)
    quarantine.note_not_run(BAD)
    assert quarantine.allows(BAD)
    quarantine.note_sent(BAD)
    quarantine.note_succeeded(BAD)
    assert quarantine.allows(BAD)
    assert quarantine.failed_starts(BAD) == 0


def test_periods_double_up_to_ten_minutes():
    """Guards against trying a broken worker as often after an hour as at first."""
    clock = ManualClock()
    quarantine = Quarantine(clock, 6)
    fail(quarantine, BAD, 3)
    for period_s in (30, 60, 120, 240, 480, 600, 600):
        clock.shift(timedelta(seconds=period_s - 1))
        assert not quarantine.allows(BAD)
        clock.shift(timedelta(seconds=1))
        assert quarantine.allows(BAD)
        quarantine.note_sent(BAD)
        quarantine.note_failed(BAD)


def test_at_most_a_third_is_quarantined():
    """Guards against a job that fails everywhere and quarantines the whole zone."""
    quarantine = Quarantine(ManualClock(), 8)
    workers = [WorkerId(str(number)) for number in range(8)]
    for worker_id in workers:
        fail(quarantine, worker_id, 5)
    assert sum(not quarantine.allows(worker_id) for worker_id in workers) == 2
    quarantine.resize(3)
    assert sum(not quarantine.allows(worker_id) for worker_id in workers) == 1
    quarantine.resize(2)
    assert all(quarantine.allows(worker_id) for worker_id in workers)
