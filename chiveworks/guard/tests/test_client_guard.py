"""Decisions of the guard under replayed loads, without a network."""

from datetime import timedelta

import pytest

from chiveworks.base import ManualClock
from chiveworks.guard import (
    ClientBudget,
    ClientGuard,
    ConnectionPhase,
    TurnAwayCounts,
    TurnAwayReason,
)
from chiveworks.guard._client_guard import OVERHEAD_BURST, SMALL_BYTES
from chiveworks.intake import IntakeLimits

SECOND = timedelta(seconds=1)
BUDGET = ClientBudget(connections=100, body_bytes=12_000_000)
LEGAL_BODY = IntakeLimits().body_bytes
SMALL_BODY = 4000
#: Memory of a complete small body while it is stored, as connections charge it.
DECODED_SMALL_BODY = 4 * SMALL_BODY


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def guard(clock):
    return ClientGuard(BUDGET, IntakeLimits, clock.monotonic())


def open_body(guard, key, size, now):
    """Opens a connection whose body has grown to a size; returns whether it fits."""
    assert guard.open(key, now)[0]
    guard.enter(key, ConnectionPhase.BODY, now)
    return guard.hold(key, size, now)


def fill(guard, now, size=LEGAL_BODY, count=90):
    """Opens stalled bodies until one is refused; returns those that are held."""
    held = []
    for number in range(count):
        fits, _ = open_body(guard, f'stalled-{number}', size, now)
        if not fits:
            break
        held.append(f'stalled-{number}')
    return held


async def test_large_bodies_leave_room_for_small_ones(guard, clock):
    """Guards against small bodies that wait behind large unfinished ones."""
    held = fill(guard, clock.monotonic())
    assert 30 < len(held) < 90
    fits, dropped = open_body(guard, 'small', DECODED_SMALL_BODY, clock.monotonic())
    assert fits and not dropped


async def test_the_body_that_stalled_first_is_dropped_for_another(guard, clock):
    """Guards against a slow-loris that keeps memory which others need."""
    held = fill(guard, clock.monotonic())
    await clock.advance(SECOND / 2)
    assert not open_body(guard, 'too-early', LEGAL_BODY, clock.monotonic())[0]
    # One of the stalled clients goes on, and so keeps its place.
    assert guard.hold(held[0], 1024, clock.monotonic())[0]
    await clock.advance(SECOND / 2)
    fits, dropped = open_body(guard, 'next', LEGAL_BODY, clock.monotonic())
    assert fits
    assert dropped == [(held[1], TurnAwayReason.STALLED)]
    assert guard.phase(held[1]) is ConnectionPhase.CLOSING
    assert not guard.hold(held[1], 1, clock.monotonic())[0]


async def test_bytes_one_by_one_are_no_progress(guard, clock):
    """Guards against clients that keep their memory with a byte now and then."""
    held = fill(guard, clock.monotonic())
    for _ in range(3):
        await clock.advance(SECOND / 2)
        guard.hold(held[0], 1, clock.monotonic())
    _, dropped = open_body(guard, 'next', LEGAL_BODY, clock.monotonic())
    assert dropped[0][0] == held[0]


async def test_slow_bodies_are_dropped_although_they_progress(guard, clock):
    """Guards against clients that send just enough to count as progress."""
    held = fill(guard, clock.monotonic(), size=LEGAL_BODY // 2)
    for _ in range(12):
        await clock.advance(SECOND)
        for key in held:
            guard.hold(key, 1024, clock.monotonic())
    fits, dropped = open_body(guard, 'next', LEGAL_BODY, clock.monotonic())
    assert fits and dropped


async def test_memory_is_given_back_when_requests_end(guard, clock):
    """Guards against a budget that shrinks with every request."""
    for number in range(1000):
        key = f'client-{number}'
        assert open_body(guard, key, LEGAL_BODY, clock.monotonic())[0]
        guard.enter(key, ConnectionPhase.SERVING, clock.monotonic())
        if number % 2:
            guard.release(key)
        guard.close(key)
    assert not guard.held_bytes and not guard.connections


async def test_a_body_that_is_refused_gives_its_memory_back(guard, clock):
    """Guards against refused clients that use up the budget."""
    held = fill(guard, clock.monotonic())
    assert guard.held_bytes == len(held) * LEGAL_BODY


async def test_idle_connections_make_way_at_the_limit_only(guard, clock):
    """Guards against ordinary idle clients that are dropped without need."""
    for number in range(BUDGET.connections):
        assert guard.open(number, clock.monotonic()) == (True, [])
        await clock.advance(SECOND / 10)
    assert not guard.expire(clock.monotonic())
    assert guard.open('new', clock.monotonic()) == (
        True,
        [(0, TurnAwayReason.IDLE_EVICTED)],
    )
    assert guard.connections == BUDGET.connections


async def test_stalled_requests_make_way_before_idle_connections(guard, clock):
    """Guards against ordinary idle clients that are dropped in place of a flood."""
    for number in range(BUDGET.connections):
        guard.open(number, clock.monotonic())
    guard.enter(7, ConnectionPhase.HEADER, clock.monotonic())
    guard.enter(8, ConnectionPhase.RESPONSE, clock.monotonic())
    guard.enter(9, ConnectionPhase.BODY, clock.monotonic())
    await clock.advance(SECOND)
    dropped = [guard.open(f'new-{n}', clock.monotonic())[1][0][0] for n in range(4)]
    assert dropped == [9, 7, 8, 0]


async def test_requests_that_are_served_are_not_dropped(guard, clock):
    """Guards against a submission whose client does not learn its outcome."""
    for number in range(BUDGET.connections):
        guard.open(number, clock.monotonic())
        guard.enter(number, ConnectionPhase.SERVING, clock.monotonic())
    await clock.advance(SECOND * 60)
    assert guard.open('new', clock.monotonic()) == (False, [])
    assert not guard.expire(clock.monotonic())


@pytest.mark.parametrize(
    ('phase', 'seconds', 'reason'),
    [
        (ConnectionPhase.HEADER, 3, TurnAwayReason.HEADER_TIMEOUT),
        (ConnectionPhase.IDLE, 15, TurnAwayReason.IDLE_TIMEOUT),
        (ConnectionPhase.BODY, 15, TurnAwayReason.BODY_TIMEOUT),
        (ConnectionPhase.RESPONSE, 15, TurnAwayReason.RESPONSE_TIMEOUT),
    ],
)
async def test_each_phase_ends_in_time(guard, clock, phase, seconds, reason):
    """Guards against connections that are open for ever, or closed too early."""
    guard.open('a', clock.monotonic())
    guard.enter('a', phase, clock.monotonic())
    await clock.advance(SECOND * (seconds - 0.1))
    assert not guard.expire(clock.monotonic())
    await clock.advance(SECOND * 0.1)
    assert guard.expire(clock.monotonic()) == [('a', reason)]
    assert not guard.expire(clock.monotonic())


async def test_two_bodies_in_single_bytes_fit_and_a_flood_does_not(guard, clock):
    """Guards against a loop that parses small chunks only, and a limit without need."""
    overhead = LEGAL_BODY * 5
    allowed = sum(guard.allow_overhead(overhead, clock.monotonic()) for _ in range(99))
    assert allowed == OVERHEAD_BURST // overhead >= 2
    await clock.advance(SECOND * 6)
    assert guard.allow_overhead(overhead, clock.monotonic())


async def test_the_smallest_machine_takes_hundreds_of_ordinary_clients(clock):
    """Guards against defaults that ordinary clients meet."""
    budget = ClientBudget.derive(200, 4100)
    guard = ClientGuard(budget, IntakeLimits, clock.monotonic())
    assert DECODED_SMALL_BODY <= SMALL_BYTES
    for number in range(900):
        fits, dropped = open_body(guard, number, DECODED_SMALL_BODY, clock.monotonic())
        assert fits and not dropped


@pytest.mark.parametrize(('memory_mb', 'max_fds'), [(96, 500), (200, 4100), (2, 20)])
async def test_budgets_stay_within_the_machine(memory_mb, max_fds):
    """Guards against limits that a small machine cannot hold."""
    budget = ClientBudget.derive(memory_mb, max_fds)
    assert budget.body_bytes < memory_mb * 1_000_000 / 4
    assert budget.connections + budget.backlog < max(max_fds - 200, 20)


async def test_a_flood_is_reported_once_a_second(clock):
    """Guards against a log line for each refused client."""
    counts = TurnAwayCounts()
    reports = []
    for _ in range(3000):
        await clock.advance(timedelta(milliseconds=1))
        counts.add(TurnAwayReason.MEMORY)
        reports.append(counts.take_report(clock.monotonic()))
    reports = [report for report in reports if report]
    assert len(reports) == 3
    assert counts.totals[TurnAwayReason.MEMORY] == 3000
