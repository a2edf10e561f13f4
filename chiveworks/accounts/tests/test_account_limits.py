"""Tests how many tasks of an account may start."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks.accounts import (
    AccountDirectory,
    AccountLimits,
    AccountUsage,
    ClientAccount,
)
from chiveworks.base import AccountName, Resources

NAME = AccountName('a')
CORE = Resources(1000, 1, 1)
CHECKED = settings(max_examples=200, deadline=None, derandomize=True)


def directory(limit, name=NAME):
    return AccountDirectory([ClientAccount(name, limit=limit)])


def limits_with(limit, running=(), overrun=0):
    usage = AccountUsage()
    for demand in running:
        usage.add(NAME, demand)
    limits = AccountLimits(usage, overrun)
    limits.learn(directory(limit))
    return limits


@pytest.mark.parametrize(
    ('limit', 'startable'),
    [
        (Resources(4000, 0, 0), 3),
        (Resources(0, 4, 0), 3),
        (Resources(0, 0, 4), 3),
        (Resources(9000, 9, 4), 3),
        (Resources(4999, 0, 0), 3),
        (Resources(1000, 0, 0), 0),
        (Resources(0, 0, 1), 0),
    ],
)
def test_each_resource_is_limited_exactly(limit, startable):
    """Guards against a start above the limit in a resource that is not compared, and
    against a limit that is not used up."""
    assert limits_with(limit, [CORE]).startable(NAME, CORE) == startable


def test_an_amount_of_zero_is_no_limit():
    """Guards against accounts that never start anything."""
    assert limits_with(Resources(), [CORE] * 5).startable(NAME, CORE) > 10_000


def test_nothing_starts_while_any_resource_exceeds_its_limit():
    """Guards against starts after a limit has been lowered."""
    limits = limits_with(Resources(2000, 0, 0), [CORE] * 3)
    assert limits.startable(NAME, Resources(0, 1)) == 0
    assert not limits.is_within(NAME)


def test_a_task_larger_than_the_limit_runs_alone():
    """Guards against a task that never runs, and against two of them at a time."""
    large = Resources(5000, 1)
    assert limits_with(Resources(4000)).startable(NAME, large) == 1
    assert limits_with(Resources(4000), [large]).startable(NAME, large) == 0
    assert limits_with(Resources(4000), [large]).is_within(NAME)


@pytest.mark.parametrize(
    ('limit', 'running', 'overrun', 'count', 'allowed'),
    [
        (4000, 0, 0, 4, True),
        (4000, 1, 0, 3, True),
        (4000, 1, 0, 4, False),
        # Alone, a gang may exceed the limit by the overrun and one task.
        (4000, 0, 0, 5, True),
        (4000, 0, 0, 6, False),
        (4000, 0, 0.25, 6, True),
        (4000, 0, 0.25, 7, False),
        (10_000, 0, 0.1, 12, True),
        (10_000, 0, 0.1, 13, False),
    ],
)
def test_gangs_start_within_the_limit_or_alone_within_the_overrun(
    limit, running, overrun, count, allowed
):
    """Guards against a gang above the bound, and against one that never runs."""
    limits = limits_with(Resources(limit), [CORE] * running, overrun)
    assert limits.may_start_gang(NAME, CORE, count) is allowed


def test_an_account_that_vanishes_keeps_its_last_limit():
    """Guards against starts without a limit once the operators remove an account."""
    limits = limits_with(Resources(2000), [CORE])
    limits.learn(directory(Resources(3000)))
    assert limits.startable(NAME, CORE) == 2
    for missing in (directory(Resources(), AccountName('b')), AccountDirectory(), None):
        limits.learn(missing)
        assert limits.startable(NAME, CORE) == 2


@pytest.mark.parametrize(
    ('accounts', 'running', 'startable'),
    [(AccountDirectory(), 0, 1), (AccountDirectory(), 1, 0)],
)
def test_an_account_without_a_known_limit_runs_one_task(accounts, running, startable):
    """Guards against a new leader that exceeds a limit that it has not read."""
    usage = AccountUsage()
    for _ in range(running):
        usage.add(NAME, CORE)
    limits = AccountLimits(usage)
    limits.learn(accounts)
    assert limits.startable(NAME, CORE) == startable


def test_without_accounts_nothing_is_limited():
    """Guards against accepted jobs that wait once operators have removed all limits."""
    limits = AccountLimits(AccountUsage())
    limits.learn(None)
    assert limits.startable(NAME, CORE) > 10_000


AMOUNTS = st.integers(0, 4)
DEMANDS = st.builds(Resources, AMOUNTS, AMOUNTS, AMOUNTS)


@CHECKED
@given(
    st.builds(Resources, *[st.integers(0, 12)] * 3),
    st.lists(st.tuples(DEMANDS, st.integers(1, 4), st.booleans()), max_size=20),
    st.sampled_from((0, 0.1, 0.5)),
)
def test_no_sequence_of_starts_exceeds_the_bound(limit, steps, overrun):
    """Guards against a combination of single tasks and gangs above the bound."""
    limits = limits_with(limit, overrun=overrun)
    usage = limits._usage
    for demand, count, gang in steps:
        if gang:
            started = count * limits.may_start_gang(NAME, demand, count)
        else:
            started = min(count, limits.startable(NAME, demand))
        for _ in range(started):
            usage.add(NAME, demand)
        if started:
            used = usage.used(NAME)
            for amount, bound, one in zip(
                (used.cpu_millicores, used.memory_bytes, used.accelerators),
                (limit.cpu_millicores, limit.memory_bytes, limit.accelerators),
                (demand.cpu_millicores, demand.memory_bytes, demand.accelerators),
                strict=True,
            ):
                assert not bound or amount <= bound * (1 + overrun) + one
