"""Tests of what a process knows of the terms before its own."""

from datetime import timedelta

import msgpack
import pytest

from chiveworks.base import Epoch, ManualClock, Revision
from chiveworks.metastore import LastWriter, StoreItem
from chiveworks.metastore._keys import SEQUENCE_KEY
from chiveworks.metastore._sequence import encode_acquisition, encode_sequence
from chiveworks.metastore._term_history import CLOCK_DRIFT, TermHistory

WRITER = Epoch(10)
SECOND = timedelta(seconds=1)


class Process:
    """A process with a clock of its own."""

    def __init__(self, offset_s):
        self.clock = ManualClock()
        self.clock.shift(timedelta(seconds=offset_s))
        self.history = TermHistory(self.clock)

    def times(self, item):
        """Returns the times since the last writer's beginning and end."""
        now = self.clock.monotonic()
        writer = self.history.last_writer(item)
        assert writer.token == WRITER
        ended_at = writer.ended_at
        return now - writer.begun_at, ended_at if ended_at is None else now - ended_at

    def acquire(self, item, revision):
        """Returns the sequence key after this process has begun a term."""
        writer = self.history.last_writer(item)
        content = encode_acquisition(writer, 'value', self.clock.monotonic())
        return sequence(content, revision)


def sequence(content, revision):
    return StoreItem(SEQUENCE_KEY, Revision(revision), content)


WRITTEN = sequence(encode_sequence(WRITER, 5), 20)


def test_a_process_counts_from_when_it_saw_a_term():
    """Guards against a time without a leader that does not count."""
    process = Process(100)
    process.history.observe(WRITER)
    process.clock.shift(3 * SECOND)
    assert process.times(WRITTEN) == (3 * SECOND, timedelta())


def test_a_process_that_has_just_started_learns_the_time_from_the_acquisition():
    """Guards against a wait that begins anew in a process that has seen no other term."""
    first, fresh = Process(100), Process(7)
    first.history.observe(WRITER)
    first.clock.shift(3 * SECOND)
    acquired = first.acquire(WRITTEN, 30)
    fresh.history.observe(Epoch(30))
    fresh.clock.shift(2 * SECOND)
    since_begin, since_end = fresh.times(acquired)
    assert since_begin == 3 * SECOND * (1 - CLOCK_DRIFT) + 2 * SECOND
    assert since_end == 2 * SECOND


def test_the_times_of_several_acquisitions_add_up():
    """Guards against a time that is lost with each term that has not written."""
    item, since = WRITTEN, timedelta()
    for number in range(4):
        process = Process(number)
        if number:
            process.history.observe(Epoch(item.revision))
        process.clock.shift(SECOND)
        item = process.acquire(item, item.revision + 10)
        since = since * (1 - CLOCK_DRIFT) + SECOND * bool(number)
    since_begin, since_end = Process(50).times(item)
    limit = since * (1 - CLOCK_DRIFT)
    assert limit - SECOND / 100 <= since_begin <= limit
    assert limit - SECOND / 100 <= since_end <= limit


def test_a_term_that_was_not_seen_counts_from_now():
    """Guards against a lease that counts as lapsed too early."""
    assert Process(100).times(WRITTEN) == (timedelta(), timedelta())


def test_the_end_is_unknown_after_a_term_of_an_earlier_version():
    """Guards against a second run beside the first: a process of an earlier version may
    extend leases before its first write."""
    earlier = sequence(msgpack.packb((WRITER, 'value')), 30)
    process = Process(100)
    process.history.observe(WRITER)
    process.history.observe(Epoch(30))
    process.clock.shift(SECOND)
    assert process.times(earlier) == (SECOND, None)
    assert process.times(process.acquire(earlier, 40)) == (SECOND, None)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'value of an earlier version',
        msgpack.packb((WRITER, 'value', -1, 0)),
        msgpack.packb((WRITER, 'value', float('nan'), 0)),
        msgpack.packb((WRITER, 'value', 1)),
        msgpack.packb((WRITER, 'value', 1, 2, 3)),
        msgpack.packb((99, 'value', 'x', 0)),
    ],
)
def test_an_odd_key_counts_as_written_by_the_latest_term(content):
    """Guards against a record of leases that is trusted although another term may have
    extended them."""
    process = Process(100)
    writer = process.history.last_writer(sequence(content, 30))
    assert writer == LastWriter(
        Epoch(30), process.clock.monotonic(), process.clock.monotonic()
    )


def test_a_token_that_is_higher_than_the_revision_is_no_error():
    """Guards against a process that cannot contend for the leadership."""
    item = sequence(msgpack.packb((99, 'value', 1, 0)), 30)
    assert Process(100).history.last_writer(item).token == 99
