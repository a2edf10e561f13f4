"""Behaviour of the event log if its pipe is full or an event is too frequent."""

import json
import os
import time
from collections import Counter
from datetime import timedelta

import pytest

from chiveworks.base import ManualClock
from chiveworks.events import EventLog
from chiveworks.events._event_log import (
    EVENT_LINES_PER_SECOND,
    LINES_PER_SECOND,
    QUIET_QUEUE_LINES,
    REDUCED_LINES_PER_SECOND,
)


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    text = b''
    try:
        while chunk := os.read(descriptor, 1 << 16):
            text += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in text.splitlines()]


def test_a_stopped_reader_blocks_nothing_and_drops_are_counted():
    """Guards against blocking on the log, or buffering it, if its reader stalls."""
    reader, writer = os.pipe()
    clock = ManualClock()
    log = EventLog(clock, {'process': 'p'}, writer)
    log.open()
    written = 10_000
    slowest = 0
    for number in range(written):
        clock.shift(timedelta(microseconds=100))
        before = time.perf_counter()
        log.write(f'event{number % 100}', number=number, text='x' * 100)
        slowest = max(slowest, time.perf_counter() - before)
    assert slowest < 0.25
    lines = read_lines(reader)
    dropped = sum(log.dropped.values())
    assert dropped > 0
    assert len([line for line in lines if 'number' in line]) + dropped == written
    os.close(reader)
    os.close(writer)


def test_lines_of_one_event_are_bounded_and_the_rest_is_reported():
    """Guards against a frequent event that fills the pipe and displaces others."""
    reader, writer = os.pipe()
    clock = ManualClock()
    log = EventLog(clock, {}, writer)
    log.open()
    clock.shift(timedelta(seconds=2))
    for _ in range(LINES_PER_SECOND + 7):
        log.write('busy')
    clock.shift(timedelta(seconds=1))
    log.write('calm')
    lines = read_lines(reader)
    assert sum(line['event'] == 'busy' for line in lines) == LINES_PER_SECOND
    assert {'busy': 7} in [line.get('counts') for line in lines]
    os.close(reader)
    os.close(writer)


@pytest.fixture
def written_lines():
    """A log, its clock, and a function that returns the lines written since."""
    reader, writer = os.pipe()
    clock = ManualClock()
    log = EventLog(clock, {}, writer)
    log.open()
    clock.shift(timedelta(seconds=2))
    yield log, clock, lambda: read_lines(reader)
    os.close(reader)
    os.close(writer)


def test_a_busy_queue_leaves_the_lines_of_a_quiet_one(written_lines):
    """Guards against lines of lasting tasks that are dropped because batch tasks of
    another queue start often."""
    log, clock, read = written_lines
    for _ in range(LINES_PER_SECOND + 7):
        log.write('run_started', queue='busy')
    for _ in range(QUIET_QUEUE_LINES):
        log.write('run_started', queue='quiet')
    counts = Counter(line['queue'] for line in read())
    assert counts == {'busy': LINES_PER_SECOND, 'quiet': QUIET_QUEUE_LINES}
    clock.shift(timedelta(seconds=1))
    log.write('run_started', queue='busy')
    assert {'run_started': 7} in [line.get('counts') for line in read()]


def test_the_lines_of_all_queues_of_an_event_are_bounded(written_lines):
    """Guards against a leader that spends its time on log lines if many queues are
    busy, and against a queue without any line in that case."""
    log, _clock, read = written_lines
    busy = 5
    for _ in range(LINES_PER_SECOND + 7):
        for number in range(busy):
            log.write('run_started', queue=f'busy{number}')
    for _ in range(QUIET_QUEUE_LINES + 7):
        log.write('run_started', queue='quiet')
    counts = Counter(line['queue'] for line in read())
    assert counts.pop('quiet') == QUIET_QUEUE_LINES
    assert sum(counts.values()) == EVENT_LINES_PER_SECOND
    dropped = busy * (LINES_PER_SECOND + 7) + 7 - EVENT_LINES_PER_SECOND
    assert log.dropped == {'run_started': dropped}


def test_fewer_lines_are_written_while_the_process_is_short_of_time():
    """Guards against a leader that falls behind while it writes a line for each run."""
    reader, writer = os.pipe()
    clock = ManualClock()
    log = EventLog(clock, {}, writer)
    log.open()
    clock.shift(timedelta(seconds=2))
    log.reduced = True
    for _ in range(LINES_PER_SECOND):
        log.write('frequent')
    log.write('rare')
    events = Counter(line['event'] for line in read_lines(reader))
    assert events == {'frequent': REDUCED_LINES_PER_SECOND, 'rare': 1}
    assert log.dropped['frequent'] == LINES_PER_SECOND - REDUCED_LINES_PER_SECOND
    os.close(reader)
    os.close(writer)


def test_sparse_lines_are_written_once_a_second_of_each_kind_and_all_observed():
    """Guards against a flood of refused calls that fills the log, and against a metric
    that counts only the lines that were written."""
    reader, writer = os.pipe()
    clock = ManualClock()
    log = EventLog(clock, {}, writer)
    log.open()
    observed = Counter()
    log.subscribe(lambda _event, fields: observed.update([fields['kind']]))
    for _ in range(2):
        clock.shift(timedelta(seconds=1))
        for number in range(1000):
            log.write_sparse('e', 'odd' if number % 2 else 'even', kind=number % 2)
    lines = [line['kind'] for line in read_lines(reader) if line['event'] == 'e']
    assert lines == [0, 1, 0, 1]
    assert observed == {0: 1000, 1: 1000}
    os.close(reader)
    os.close(writer)
