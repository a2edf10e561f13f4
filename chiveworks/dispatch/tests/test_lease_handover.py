"""Tests when leases may be extended while a record of them is stored."""

import json
from datetime import timedelta

import pytest

from chiveworks.base import Epoch, ManualClock, WorkerId
from chiveworks.dispatch._lease_handover import (
    RECORD_AFTER,
    RECORD_INTERVAL,
    LeaseHandover,
)
from chiveworks.dispatch._lease_record import LeaseRecord, decode_leases
from chiveworks.dispatch._worker_lease import BRIEF_EXTENSION, CLOCK_DRIFT
from chiveworks.events import EventLog
from chiveworks.metastore import LastWriter, Term
from standins.runners import LEASE_LIMIT

WORKER = WorkerId('w')
LEFT = timedelta(seconds=2)


class _Writer:
    """Keeps the records that are to be written, with their callbacks."""

    def __init__(self):
        self.puts = []

    def put(self, _key, content, on_stored=None):
        self.puts.append((decode_leases(content).times_left, on_stored))


class _Leader:
    """A leader whose writes are confirmed by the test."""

    def __init__(self, inherited=None):
        self.clock = ManualClock()
        self.clock.shift(timedelta(seconds=10))
        self.writer = _Writer()
        log = EventLog(self.clock, {})
        term = Term(
            None,
            self.clock,
            log,
            '',
            Epoch(2),
            LastWriter(Epoch(1), self.clock.monotonic(), self.clock.monotonic()),
            None,
            LEASE_LIMIT,
            self.clock.monotonic(),
        )
        self.handover = LeaseHandover(term, self.clock, log, self.writer, LEASE_LIMIT)
        if inherited is not None:
            record = LeaseRecord(term.last_writer.token, inherited)
            self.handover.inherit(record.encode())
        self.lease = self.handover.open(WORKER)

    def reach(self):
        """Receives a response of the worker and checks."""
        self.lease.observe_clock(timedelta(seconds=100), self.clock.monotonic())
        self.handover.check({})

    def lose(self):
        """Gets no response for long enough to record the worker, and checks."""
        self.clock.shift(RECORD_AFTER)
        self.handover.check({WORKER: self.lease})

    def extends(self):
        """Tries to extend the lease."""
        return self.lease.extend(self.clock.monotonic()) is not None

    def confirm(self):
        """Confirms the oldest record that is to be written."""
        self.writer.puts.pop(0)[1]()


@pytest.fixture
def leader():
    """Leader that has reached the worker, whose first record is stored."""
    created = _Leader()
    created.reach()
    created.confirm()
    return created


def test_a_lease_is_frozen_before_its_record_is_stored(leader):
    """Guards against an extension between the put of a record and its write, of which
    the next leader would not know."""
    assert leader.extends()
    leader.lose()
    assert not leader.extends()


def test_a_lease_stays_frozen_until_a_record_without_it_is_stored(leader):
    """Guards against an extension while the store still holds the earlier end."""
    leader.lose()
    leader.confirm()
    leader.reach()
    assert not leader.extends()
    assert not leader.lease.extendable
    leader.confirm()
    assert leader.extends()


def test_a_late_confirmation_does_not_unfreeze_a_worker_that_is_lost_again(leader):
    """Guards against an extension after the write of a record without the worker was
    confirmed when a later record with it was already on its way."""
    leader.lose()
    leader.confirm()
    leader.reach()
    leader.lose()
    leader.confirm()
    assert not leader.extends()


def test_a_confirmed_record_keeps_its_workers_frozen(leader):
    """Guards against an extension after the worker was reached again, once the record
    that names it is confirmed: the one without it is not stored yet."""
    leader.lose()
    leader.reach()
    leader.confirm()
    assert not leader.extends()
    leader.confirm()
    assert leader.extends()


def test_an_inherited_lease_is_frozen_until_a_record_without_it_is_stored():
    """Guards against an extension of a lease whose end an earlier leader has stored."""
    leader = _Leader({WORKER: LEFT})
    leader.reach()
    assert not leader.extends()
    leader.confirm()
    assert leader.extends()


def test_an_inherited_lease_ends_as_stored():
    """Guards against a lease that is waited for from the beginning of each term, or for
    less than its remaining time."""
    leader = _Leader({WORKER: LEFT})
    now = leader.clock.monotonic()
    assert not leader.lease.lapsed(now + LEFT - timedelta(milliseconds=1))
    assert leader.lease.lapsed(now + LEFT)
    assert leader.handover.open(WORKER).time_left(now) > LEASE_LIMIT


def test_the_log_names_the_inherited_leases(capfd):
    """Guards against a wait of which the log does not tell whether it began anew."""
    _Leader({WORKER: LEFT})
    (line,) = capfd.readouterr().out.splitlines()
    written = json.loads(line)
    assert written['event'] == 'leases_inherited'
    assert (written['token'], written['workers'], written['longest_left_s']) == (
        1,
        1,
        2,
    )


def test_a_recorded_time_is_that_until_the_lease_has_lapsed(leader):
    """Guards against a record that is shorter than the lease, or is not renewed."""
    assert leader.extends()
    for _ in range(3):
        leader.lose()
        record, _ = leader.writer.puts.pop(0)
        left = leader.lease.time_left(leader.clock.monotonic())
        assert left <= record[WORKER] < left + timedelta(milliseconds=1)


async def _stored_by(leader, monkeypatch):
    """Returns the times left in the first record of a leader."""
    stored = []

    async def write(writes, _removals=()):
        stored.extend(writes.values())

    monkeypatch.setattr(leader.handover._term, 'write', write)
    await leader.handover.confirm()
    return decode_leases(stored[0]).times_left


async def test_a_brief_extension_before_a_change_of_the_leader_is_waited_for(
    monkeypatch,
):
    """Guards against a second run beside the first: the earlier leader extended a frozen
    lease briefly, after the record whose time left is shorter."""
    earlier = _Leader({WORKER: timedelta(milliseconds=10)})
    leader = _Leader(await _stored_by(earlier, monkeypatch))
    now = leader.clock.monotonic()
    assert not leader.lease.lapsed(now + BRIEF_EXTENSION / (1 - CLOCK_DRIFT))


async def test_a_lease_that_lapsed_before_a_change_of_the_leader_is_not_waited_for(
    monkeypatch,
):
    """Guards against a wait that begins anew with each leader: a frozen lease that has
    lapsed has no runs, so a brief extension of it changes nothing."""
    earlier = _Leader({WORKER: timedelta()})
    leader = _Leader(await _stored_by(earlier, monkeypatch))
    assert leader.lease.lapsed(leader.clock.monotonic())


def test_a_brief_extension_does_not_shorten_a_lease():
    """Guards against a second run beside the first: a lease that an earlier leader had
    extended for longer counted as lapsed after a brief extension."""
    leader = _Leader({WORKER: LEFT})
    now = leader.clock.monotonic()
    leader.reach()
    assert leader.lease.extend_briefly(now) is not None
    assert leader.lease.time_left(now) >= LEFT


async def test_a_record_during_the_recovery_knows_brief_extensions(monkeypatch):
    """Guards against a second run beside the first: a worker was reached and its lease
    extended during the recovery, while the record counted down the inherited time."""
    leader = _Leader({WORKER: BRIEF_EXTENSION})
    await _stored_by(leader, monkeypatch)
    for _ in range(10):
        now = leader.clock.monotonic()
        leader.lease.observe_clock(now, now)
        assert leader.lease.extend_briefly(now) is not None
        leader.clock.shift(BRIEF_EXTENSION / 5)
    leader.handover.refresh()
    record, _ = leader.writer.puts.pop()
    assert record[WORKER] >= leader.lease.time_left(leader.clock.monotonic())


def test_a_worker_that_is_not_reached_is_recorded_at_the_end_of_the_recovery():
    """Guards against a lost worker that is recorded only a second after the recovery."""
    leader = _Leader()
    missing = leader.handover.open(WorkerId('missing'))
    leader.handover.end_recovery({WorkerId('missing'): missing})
    record, _ = leader.writer.puts[0]
    assert set(record) == {'missing'}
    leader.confirm()
    assert missing.frozen
    assert not leader.lease.frozen


def test_nothing_is_written_before_the_leases_are_inherited():
    """Guards against a record of the recovery that replaces the inherited times by a
    whole lease."""
    leader = _Leader()
    leader.clock.shift(RECORD_INTERVAL)
    leader.handover.refresh()
    assert not leader.writer.puts


def test_no_lease_is_extended_in_full_before_the_recovery_has_ended():
    """Guards against an extension while the stored record gives a time for all workers,
    of which the next leader would not know."""
    leader = _Leader()
    leader.lease.observe_clock(timedelta(seconds=100), leader.clock.monotonic())
    assert not leader.extends()
    leader.handover.end_recovery({})
    assert not leader.extends()
    leader.confirm()
    assert leader.extends()


def test_a_short_time_left_in_a_record_of_an_earlier_version_is_extended():
    """Guards against a second run beside the first: a term that wrote nothing extended a
    lease briefly after the record of an earlier version."""
    leader = _Leader({WORKER: timedelta(milliseconds=10)})
    now = leader.clock.monotonic()
    assert not leader.lease.lapsed(now + BRIEF_EXTENSION / (1 - CLOCK_DRIFT))
